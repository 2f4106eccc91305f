#include "node/control/configurationstore.h"

#include "adapters/tasks/signal.h"
#include "node/calls/requestids.h"
#include "node/control/configurationjson.h"
#include "node/control/keydigest.h"

#include <boost/json/value.hpp>

#include <utility>

namespace chervilmount::node {

namespace {

using adapters::PlatformStatus;

constexpr const char *CurrentRowName = "configuration/current";

// Reads after a write without an answer; together with the client's timeout about 5 s.
constexpr int ResolveAttempts = 10;
constexpr std::chrono::milliseconds ResolveInterval{200};

std::string objectName(std::uint64_t version, const std::string &hash)
{
    return "configuration/" + std::to_string(version) + "-" + hash;
}

} // namespace

ConfigurationStore::ConfigurationStore(adapters::PlatformClient &platform,
                                       ConfigurationState &state)
    : m_platform(platform)
    , m_state(state)
{
}

adapters::Task<ConfigurationStore::CurrentRow> ConfigurationStore::readCurrent()
{
    const adapters::RowsResult rows = co_await m_platform.readRow(CurrentRowName);
    CurrentRow current;
    current.m_status = rows.m_status;
    if (rows.m_status != PlatformStatus::Ok)
        co_return current;
    try {
        const boost::json::value &value = rows.m_rows.front().m_value;
        current.m_revision = rows.m_rows.front().m_revision;
        current.m_version = value.at("version").to_number<std::uint64_t>();
        current.m_hash = std::string(value.at("hash").as_string());
        current.m_nonce = std::string(value.at("nonce").as_string());
    } catch (const std::exception &) {
        current.m_status = PlatformStatus::Unknown;
    }
    co_return current;
}

adapters::Task<Publication> ConfigurationStore::publish(std::string text,
                                                        std::uint64_t expectedVersion)
{
    Publication publication;
    model::Configuration set = parseConfiguration(text, publication.m_findings);
    if (!publication.m_findings.empty()) {
        publication.m_outcome = PublicationOutcome::Invalid;
        co_return publication;
    }
    const CurrentRow current = co_await readCurrent();
    if (current.m_status != PlatformStatus::Ok && current.m_status != PlatformStatus::Absent) {
        publication.m_reason = "table service unavailable";
        co_return publication;
    }
    if (current.m_version != expectedVersion) {
        publication.m_outcome = PublicationOutcome::Conflict;
        publication.m_version = current.m_version;
        co_return publication;
    }
    const std::string hash = sha256(text);
    const std::string name = objectName(expectedVersion + 1, hash);
    if (co_await m_platform.putObject(name, text) != PlatformStatus::Ok) {
        publication.m_reason = "object store unavailable";
        co_return publication;
    }
    publication = co_await commit(current, hash);
    if (publication.m_outcome == PublicationOutcome::Accepted)
        m_state.install(makeVersion(publication.m_version, hash, std::move(text), std::move(set)));
    co_return publication;
}

adapters::Task<Publication> ConfigurationStore::commit(CurrentRow before, std::string hash)
{
    const std::string nonce = newToken();
    adapters::RowOperation write;
    write.m_row = CurrentRowName;
    write.m_condition = before.m_status == PlatformStatus::Absent
            ? adapters::RowCondition::Absent
            : adapters::RowCondition::Revision;
    write.m_revision = before.m_revision;
    write.m_value = boost::json::object{
            {"version", before.m_version + 1}, {"hash", hash}, {"nonce", nonce}};
    std::vector<adapters::RowOperation> operations{write};
    const adapters::TransactionResult result = co_await m_platform.transact(operations, true);
    Publication publication;
    publication.m_version = before.m_version + 1;
    if (result.m_status == PlatformStatus::Ok && result.m_results.front().m_applied) {
        publication.m_outcome = PublicationOutcome::Accepted;
        co_return publication;
    }
    if (result.m_status == PlatformStatus::Refused) {
        publication.m_reason = "table service refused the write";
        co_return publication;
    }
    // The write was lost to another publisher or its outcome is unknown; the nonce tells which.
    for (int attempt = 0; attempt < ResolveAttempts; ++attempt) {
        const CurrentRow after = co_await readCurrent();
        if (after.m_status == PlatformStatus::Ok && after.m_revision != before.m_revision) {
            // A later version hides whether the own write took effect in between.
            if (after.m_version > before.m_version + 1)
                break;
            const bool own = after.m_nonce == nonce;
            publication.m_outcome =
                    own ? PublicationOutcome::Accepted : PublicationOutcome::Conflict;
            publication.m_version = after.m_version;
            co_return publication;
        }
        co_await adapters::sleepFor(ResolveInterval);
    }
    publication.m_outcome = PublicationOutcome::Unknown;
    publication.m_reason = "the write was not acknowledged";
    co_return publication;
}

adapters::Task<bool> ConfigurationStore::refresh()
{
    const CurrentRow current = co_await readCurrent();
    if (current.m_status != PlatformStatus::Ok)
        co_return current.m_status == PlatformStatus::Absent;
    if (m_state.current() && current.m_version <= m_state.current()->m_version)
        co_return true;
    const adapters::ObjectResult object =
            co_await m_platform.getObject(objectName(current.m_version, current.m_hash));
    if (object.m_status != PlatformStatus::Ok || sha256(object.m_body) != current.m_hash)
        co_return false;
    model::Findings findings;
    model::Configuration set = parseConfiguration(object.m_body, findings);
    if (!findings.empty())
        co_return false;
    m_state.install(makeVersion(current.m_version, current.m_hash, object.m_body, std::move(set)));
    co_return true;
}

} // namespace chervilmount::node
