#include "node/control/membershipservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/value.hpp>

#include <charconv>
#include <utility>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

/** Parses a seed row, whose name is "seeds/<failure domain>/<index>". */
std::optional<membership::SeedRow> toSeedRow(const adapters::TableRow &row)
{
    const std::string_view prefix = membership::SeedPrefix;
    const std::size_t slash = row.m_name.rfind('/');
    if (!row.m_name.starts_with(prefix) || slash == std::string::npos || slash < prefix.size())
        return std::nullopt;
    membership::SeedRow seed;
    seed.m_failureDomain = row.m_name.substr(prefix.size(), slash - prefix.size());
    const char *end = row.m_name.data() + row.m_name.size();
    const auto parsed = std::from_chars(row.m_name.data() + slash + 1, end, seed.m_index);
    if (parsed.ec != std::errc() || parsed.ptr != end || !row.m_value.is_object())
        return std::nullopt;
    const boost::json::value *address = row.m_value.as_object().if_contains("address");
    if (address == nullptr || !address->is_string())
        return std::nullopt;
    seed.m_node = {seed.m_failureDomain, std::string(address->as_string())};
    seed.m_revision = row.m_revision;
    return seed;
}

adapters::RowCondition toCondition(membership::WriteSeed::Condition condition)
{
    switch (condition) {
    case membership::WriteSeed::Condition::Absent:
        return adapters::RowCondition::Absent;
    case membership::WriteSeed::Condition::Revision:
        return adapters::RowCondition::Revision;
    case membership::WriteSeed::Condition::None:
        break;
    }
    return adapters::RowCondition::None;
}

} // namespace

MembershipService::MembershipService(const boost::asio::any_io_executor &executor,
                                     membership::MembershipSettings settings,
                                     const membership::NodeId &own, std::uint64_t incarnation,
                                     adapters::PlatformClient &platform, std::mt19937_64 &random,
                                     SendMessage send)
    : m_executor(executor)
    , m_platform(platform)
    , m_random(random)
    , m_send(std::move(send))
    , m_state(membership::makeState(std::move(settings), own, incarnation))
    , m_changed(executor)
{
}

MembershipService::~MembershipService()
{
    *m_running = false;
}

void MembershipService::start()
{
    handleEvent(membership::Started{});
    boost::asio::co_spawn(m_executor, run(), boost::asio::detached);
}

void MembershipService::handleEvent(const membership::Event &event)
{
    apply(membership::step(m_state, event, steady_clock::now(), m_random));
    // The effects do not report changes of the own record.
    if (std::holds_alternative<membership::BackendAnnounced>(event)
        || std::holds_alternative<membership::BackendLost>(event)
        || std::holds_alternative<membership::LeaveStarted>(event))
        ++m_revision;
}

void MembershipService::receive(const messages::MembershipMessage &message)
{
    handleEvent(membership::MessageReceived{message.m_from, message.m_payload});
}

void MembershipService::apply(const membership::Effects &effects)
{
    for (const membership::Send &send : effects.m_sends) {
        m_send(send.m_to.m_address,
               messages::MembershipMessage{m_state.m_self.m_id, send.m_payload});
    }
    for (const membership::StoreOperation &operation : effects.m_storeOperations) {
        if (const membership::WriteSeed *write = std::get_if<membership::WriteSeed>(&operation))
            boost::asio::co_spawn(m_executor, writeSeed(*write), boost::asio::detached);
        else
            boost::asio::co_spawn(m_executor, readSeeds(), boost::asio::detached);
    }
    if (!effects.m_memberChanges.empty() || !effects.m_domainChanges.empty())
        ++m_revision;
    m_wakeUpAt = effects.m_wakeUpAt;
    m_changed.notify();
}

std::vector<membership::MemberRecord>
MembershipService::servingMembers(const std::string &service) const
{
    std::vector<membership::MemberRecord> records;
    const membership::MemberRecord &self = m_state.m_self;
    membership::forEachRoutable(m_state, steady_clock::now(),
                                [&](const membership::MemberRecord &record) {
                                    if (record.m_service == service && record.m_id != self.m_id)
                                        records.push_back(record);
                                });
    if (self.m_state == membership::MemberState::Serving && self.m_service == service)
        records.push_back(self);
    return records;
}

adapters::Task<> MembershipService::run()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        if (m_wakeUpAt <= steady_clock::now())
            handleEvent(membership::TimePassed{});
        else
            co_await m_changed.waitUntil(m_wakeUpAt);
    }
}

adapters::Task<> MembershipService::readSeeds()
{
    const std::shared_ptr<bool> running = m_running;
    const adapters::RowsResult rows = co_await m_platform.readRows(membership::SeedPrefix);
    if (!*running)
        co_return;
    membership::SeedsRead seeds;
    if (rows.m_status == adapters::PlatformStatus::Ok) {
        seeds.m_rows.emplace();
        for (const adapters::TableRow &row : rows.m_rows) {
            if (const std::optional<membership::SeedRow> seed = toSeedRow(row))
                seeds.m_rows->push_back(*seed);
        }
    }
    handleEvent(seeds);
}

adapters::Task<> MembershipService::writeSeed(membership::WriteSeed write)
{
    adapters::RowOperation operation;
    operation.m_row = membership::seedRowName(write.m_row);
    operation.m_condition = toCondition(write.m_condition);
    operation.m_revision = write.m_row.m_revision;
    operation.m_value = boost::json::object{{"address", write.m_row.m_node.m_address}};
    std::vector<adapters::RowOperation> operations;
    operations.push_back(std::move(operation));
    // A failed write is not retried here: the next check of the seeds writes again.
    co_await m_platform.transact(std::move(operations), false);
}

} // namespace chervilmount::node
