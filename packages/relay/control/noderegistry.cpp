#include "relay/control/noderegistry.h"

#include "relay/timers/retrydelay.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds InitialRetryDelay{200};
constexpr Milliseconds MaxRetryDelay{2000};

} // namespace

NodeRegistry::NodeRegistry(SharedStore &store, Mesh &mesh, TimerQueue &timers, BoundedLog &log,
                           std::mt19937_64 &random)
    : m_store(store)
    , m_mesh(mesh)
    , m_timers(timers)
    , m_log(log)
    , m_random(random)
{
}

void NodeRegistry::start()
{
    read();
}

void NodeRegistry::handleClaimedEra(std::uint64_t era)
{
    if (era > m_claimedEra && renewRow(era))
        m_claimedEra = era;
}

bool NodeRegistry::renewRow(std::uint64_t era)
{
    // At a start, the write that follows the read is still to come.
    if (!m_knowsOwnRow || m_isRenewing || m_version.m_era >= era)
        return false;
    m_isRenewing = true;
    m_hasStoredDepartures = m_departed.empty();
    const Milliseconds delay = traffic::renewalDelay(m_mesh.knownPeers() + 1, m_random);
    m_timers.add(std::chrono::steady_clock::now() + delay, [this, era] {
        // A change may have been written meanwhile.
        if (m_version.m_era < era)
            write();
        else
            m_isRenewing = false;
    });
    return true;
}

void NodeRegistry::setDeparted(std::vector<traffic::DepartedInstance> departed)
{
    if (m_departed == departed)
        return;
    m_hasStoredDepartures = false;
    m_departed = std::move(departed);
    writeChange();
}

void NodeRegistry::setProfile(const traffic::CallProfile &profile)
{
    m_profile = profile;
    writeChange();
}

void NodeRegistry::setEstablished(bool isEstablished)
{
    if (m_isEstablished == isEstablished)
        return;
    m_isEstablished = isEstablished;
    writeChange();
}

void NodeRegistry::setStopped(std::chrono::milliseconds stoppedAt)
{
    if (m_stoppedAt.count() != 0)
        return;
    m_stoppedAt = stoppedAt;
    writeChange();
}

void NodeRegistry::writeChange()
{
    // Before the own row has been read, the write that follows the read includes the change.
    if (m_knowsOwnRow)
        write();
}

void NodeRegistry::write()
{
    if (m_writing) {
        m_dirty = true;
        return;
    }
    m_writing = true;
    m_dirty = false;
    StoreRow row = toStoreRow({m_mesh.self(), m_departed, m_profile, m_isEstablished, m_stoppedAt});
    row.m_version = m_version;
    const auto calledAt = std::chrono::steady_clock::now();
    m_store.write(NodeTable, row, [this, calledAt, value = row.m_value](const WriteResult &result) {
        m_writing = false;
        if (result.m_status == WriteStatus::Failed) {
            retry(calledAt, [this] { write(); });
            return;
        }
        m_failures = 0;
        // A conflict may be caused by an earlier try whose answer was lost; the row then has the
        // intended value.
        const bool isStored =
                result.m_status == WriteStatus::Written || result.m_row.m_value == value;
        if (isStored)
            m_version = result.m_row.m_version;
        else if (!mergeRow(result.m_row))
            m_rereadsTable = true;
        if (m_dirty || !isStored) {
            write();
            return;
        }
        m_isRenewing = false;
        m_hasStoredStop = m_stoppedAt.count() != 0;
        if (!std::exchange(m_hasStoredDepartures, true) && m_onDeparturesStored)
            m_onDeparturesStored();
        if (std::exchange(m_rereadsTable, false) || !m_hasReadTable)
            read();
    });
}

void NodeRegistry::read()
{
    const auto calledAt = std::chrono::steady_clock::now();
    m_store.read(NodeTable, [this, calledAt](bool succeeded, const std::vector<StoreRow> &rows) {
        if (!succeeded) {
            retry(calledAt, [this] { read(); });
            return;
        }
        m_failures = 0;
        const StoreRow *own = nullptr;
        for (const StoreRow &row : rows) {
            if (row.m_key == m_mesh.self().m_node)
                own = &row;
            else
                addPeer(row);
        }
        // If other nodes cannot find this node by its earlier row, two nodes that start together
        // may both have read the table before the other's write. Reading it again after the write
        // ensures that at least one of them finds the other.
        m_hasReadTable = m_knowsOwnRow || (own != nullptr && mergeRow(*own));
        if (m_hasReadTable && m_onTableRead)
            m_onTableRead();
        if (std::exchange(m_knowsOwnRow, true))
            return;
        // An unchanged row is written as well: the new version makes a delayed write of the earlier
        // process fail, and a conflict reveals one that was performed since the read.
        write();
    });
}

bool NodeRegistry::mergeRow(const StoreRow &row)
{
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info,
                         {{"event", m_knowsOwnRow ? "node-row-conflict" : "node-row-found"},
                          {"era", std::to_string(row.m_version.m_era)},
                          {"version", std::to_string(row.m_version.m_number)},
                          {"known_era", std::to_string(m_version.m_era)},
                          {"known_version", std::to_string(m_version.m_number)}},
                         std::chrono::steady_clock::now());
    const bool isOutdated = m_knowsOwnRow && row.m_version.m_era != m_version.m_era;
    m_version = row.m_version;
    // The store has lost the row.
    if (row.m_version.m_number == 0)
        return false;
    // Only this node writes the row, so this value comes from an earlier process or from an earlier
    // write of this process, whose outcome was unknown or which a copy of the store has kept.
    const std::optional<NodeRow> node = readRow(row);
    if (!node)
        return false;
    mergeContent(*node, isOutdated);
    const NodeRecord &self = m_mesh.self();
    return node->m_record.m_address == self.m_address
            && node->m_record.m_failureDomain == self.m_failureDomain
            && node->m_record.m_region == self.m_region;
}

void NodeRegistry::mergeContent(const NodeRow &node, bool isOutdated)
{
    if (m_profile.empty())
        m_profile = node.m_profile;
    // The callback requests a write of the merged row; m_writing defers it, as the caller writes.
    m_writing = true;
    if (isOutdated)
        m_onOutdatedRow(node);
    else
        m_onOwnRow(node);
    m_writing = false;
    m_dirty = false;
}

void NodeRegistry::addPeer(const StoreRow &row)
{
    const std::optional<NodeRow> node = readRow(row);
    if (!node)
        return;
    m_mesh.updatePeer(node->m_record);
    m_mesh.setInitialProfile(node->m_record.m_node, node->m_profile);
}

std::optional<NodeRow> NodeRegistry::readRow(const StoreRow &row)
{
    std::optional<NodeRow> node = parseNodeRow(row);
    if (!node && m_store.m_onUnreadableEntry)
        m_store.m_onUnreadableEntry({NodeTable, row.m_key, UnreadableNodeRow});
    return node;
}

void NodeRegistry::retry(std::chrono::steady_clock::time_point calledAt,
                         const std::function<void()> &action)
{
    const Milliseconds delay = retryDelay(InitialRetryDelay, MaxRetryDelay, m_failures, m_random);
    ++m_failures;
    // Counts from the call, so that one that has timed out is repeated at once.
    m_timers.add(std::max(calledAt + delay, std::chrono::steady_clock::now()), action);
}

} // namespace chervilmount::relay
