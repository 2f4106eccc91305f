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
    write();
}

void NodeRegistry::setDeparted(std::vector<traffic::DepartedInstance> departed)
{
    m_departed = std::move(departed);
    // Until the first write has succeeded it is repeated anyway.
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
        m_version = result.m_row.m_version;
        // After a lost answer the row can hold what this call was to write.
        const bool stands =
                result.m_status == WriteStatus::Written || result.m_row.m_value == value;
        if (!stands)
            mergeRow(result.m_row);
        m_knowsOwnRow = true;
        if (m_dirty || !stands)
            write();
        else if (!m_hasRead && !std::exchange(m_reading, true))
            read();
    });
}

void NodeRegistry::mergeRow(const StoreRow &row)
{
    m_log.writeIfAllowed(LogTopic::State, adapters::LogLevel::Info,
                         {{"event", m_knowsOwnRow ? "node-row-conflict" : "node-row-found"},
                          {"version", std::to_string(row.m_version)}},
                         std::chrono::steady_clock::now());
    // Only processes of this node write the row: an earlier one, or an earlier write of this one
    // whose outcome was unknown.
    const std::optional<NodeRow> node = parseNodeRow(row);
    if (!node)
        return;
    if (m_profile.empty())
        m_profile = node->m_profile;
    // The callback asks for a write of the merged row, which the caller does.
    m_writing = true;
    m_onOwnRow(*node);
    m_writing = false;
}

void NodeRegistry::read()
{
    m_store.read(NodeTable, [this](bool succeeded, const std::vector<StoreRow> &rows) {
        if (!succeeded) {
            retry([this] { read(); });
            return;
        }
        for (const StoreRow &row : rows)
            learn(row);
        m_hasRead = true;
    });
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
    if (node->m_record.m_node != m_mesh.self().m_node) {
        m_mesh.learn(node->m_record);
        m_mesh.learnProfile(node->m_record.m_node, node->m_profile);
    }
}

void NodeRegistry::retry(const std::function<void()> &action)
{
    const Milliseconds delay = retryDelay(FirstRetryDelay, LongestRetryDelay, m_failures, m_random);
    ++m_failures;
    m_timers.add(std::chrono::steady_clock::now() + delay, action);
}

} // namespace chervilmount::relay
