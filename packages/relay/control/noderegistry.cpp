#include "relay/control/noderegistry.h"

#include "relay/timers/retrydelay.h"

#include <utility>

namespace chervilmount::relay {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds FirstRetryDelay{200};
constexpr Milliseconds LongestRetryDelay{3000};

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

void NodeRegistry::setDeparted(std::vector<traffic::DepartedInstance> departed)
{
    m_keepsDepartures = m_keepsDepartures && m_departed == departed;
    m_departed = std::move(departed);
    // Once the own row is known it is written anyway.
    if (m_knowsOwnRow)
        write();
}

void NodeRegistry::setProfile(const traffic::CallProfile &profile)
{
    m_profile = profile;
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
    StoreRow row = toStoreRow({m_mesh.self(), m_departed, m_profile});
    row.m_version = m_version;
    m_store.write(NodeTable, row, [this, value = row.m_value](const WriteResult &result) {
        m_writing = false;
        if (result.m_status == WriteStatus::Failed) {
            retry([this] { write(); });
            return;
        }
        m_failures = 0;
        // After a lost answer the row can hold what this call was to write.
        const bool stands =
                result.m_status == WriteStatus::Written || result.m_row.m_value == value;
        if (stands)
            m_version = result.m_row.m_version;
        else
            mergeRow(result.m_row);
        if (m_dirty || !stands) {
            write();
            return;
        }
        m_keepsDepartures = true;
        if (!m_hasRead)
            read();
    });
}

void NodeRegistry::read()
{
    m_store.read(NodeTable, [this](bool succeeded, const std::vector<StoreRow> &rows) {
        if (!succeeded) {
            retry([this] { read(); });
            return;
        }
        m_failures = 0;
        const StoreRow *own = nullptr;
        for (const StoreRow &row : rows) {
            if (row.m_key == m_mesh.self().m_node)
                own = &row;
            else
                learn(row);
        }
        // Unless others find this node by its earlier row, it may be missing in what they have
        // read, and they in what it has read; after the write at least one of two finds the other.
        m_hasRead = m_knowsOwnRow || (own != nullptr && mergeRow(*own));
        if (std::exchange(m_knowsOwnRow, true))
            return;
        // Also an unchanged row is written: a write of the earlier process that the store performs
        // later then meets another version, and one that was performed meanwhile is noticed.
        write();
    });
}

bool NodeRegistry::mergeRow(const StoreRow &row)
{
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info,
                         {{"event", m_knowsOwnRow ? "node-row-conflict" : "node-row-found"},
                          {"version", std::to_string(row.m_version)}},
                         std::chrono::steady_clock::now());
    m_version = row.m_version;
    // Only processes of this node write the row: an earlier one, or an earlier write of this one
    // whose outcome was unknown.
    const std::optional<NodeRow> node = parseNodeRow(row);
    if (!node)
        return false;
    if (m_profile.empty())
        m_profile = node->m_profile;
    // The callback asks for a write of the merged row, which the caller does.
    m_writing = true;
    m_onOwnRow(*node);
    m_writing = false;
    m_dirty = false;
    const NodeRecord &self = m_mesh.self();
    return node->m_record.m_address == self.m_address
            && node->m_record.m_failureDomain == self.m_failureDomain
            && node->m_record.m_region == self.m_region;
}

void NodeRegistry::learn(const StoreRow &row)
{
    const std::optional<NodeRow> node = parseNodeRow(row);
    if (!node) {
        m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Warn,
                             {{"event", "node-row-unreadable"}, {"key", row.m_key}},
                             std::chrono::steady_clock::now());
        return;
    }
    m_mesh.updatePeer(node->m_record);
    m_mesh.setInitialProfile(node->m_record.m_node, node->m_profile);
}

void NodeRegistry::retry(const std::function<void()> &action)
{
    const Milliseconds delay = retryDelay(FirstRetryDelay, LongestRetryDelay, m_failures, m_random);
    ++m_failures;
    m_timers.add(std::chrono::steady_clock::now() + delay, action);
}

} // namespace chervilmount::relay
