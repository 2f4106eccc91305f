#include "node/control/configurationstore.h"

#include "adapters/tasks/signal.h"
#include "node/calls/requestids.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace chervilmount::node {

namespace {

using adapters::PlatformStatus;

constexpr const char *CurrentRowName = "configuration/current";

// Reads that determine the outcome of an unacknowledged write; with the client's timeout about 5 s.
constexpr int OutcomeReadAttempts = 10;
constexpr std::chrono::milliseconds OutcomeReadInterval{200};

std::string objectName(std::uint64_t version, const model::Digest &hash)
{
    return "configuration/" + std::to_string(version) + "-" + model::toHex(hash);
}

std::string objectText(const model::VersionedConfiguration &set)
{
    return boost::json::serialize(
            boost::json::object{{"version", set.version().m_version},
                                {"snapshot", model::toJson(set.configuration())}});
}

/** @returns the findings; empty if the configuration is valid. */
model::Findings loadSet(std::string text, model::Configuration &set)
{
    try {
        set = model::loadConfiguration({{"request", std::move(text)}}).m_configuration;
    } catch (const model::FindingsError &error) {
        return error.findings();
    }
    return {};
}

/** Parses a stored configuration; returns nothing if it is malformed or its hash differs. */
std::optional<model::VersionedConfiguration>
readObject(const std::string &text, std::uint64_t version, const model::Digest &hash)
{
    try {
        const boost::json::value document = boost::json::parse(text);
        model::Findings findings;
        const model::LocatedConfiguration placed =
                model::readConfiguration(document.at("snapshot"), {}, findings);
        model::VersionedConfiguration set(placed.m_configuration, version);
        if (findings.empty() && set.version().m_hash == hash)
            return set;
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
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
        const std::string hash(value.at("hash").as_string());
        const std::optional<model::Digest> digest = model::digestFromHex(hash);
        if (!digest)
            throw std::invalid_argument("malformed hash in " + std::string(CurrentRowName));
        current.m_hash = *digest;
        current.m_nonce = std::string(value.at("nonce").as_string());
    } catch (const std::exception &) {
        current.m_status = PlatformStatus::Unknown;
    }
    co_return current;
}

boost::json::value ConfigurationStore::differenceSince(std::uint64_t expectedVersion,
                                                       const model::Configuration &offered) const
{
    if (!m_state.current())
        return nullptr;
    // The expected version is not stored here, so the offered configuration is compared instead.
    const model::VersionedConfiguration &present = m_state.current()->m_versioned;
    return model::toJson(model::makeDelta(offered, expectedVersion, present.configuration(),
                                          present.version().m_version));
}

adapters::Task<Publication> ConfigurationStore::publish(std::string text,
                                                        std::uint64_t expectedVersion)
{
    Publication publication;
    model::Configuration set;
    publication.m_findings = loadSet(std::move(text), set);
    if (!publication.m_findings.empty()) {
        publication.m_outcome = PublicationOutcome::Invalid;
        co_return publication;
    }
    const std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    const CurrentRow current = co_await readCurrent();
    if (current.m_status != PlatformStatus::Ok && current.m_status != PlatformStatus::Absent) {
        publication.m_reason = "table service unavailable";
        co_return publication;
    }
    if (current.m_version != expectedVersion) {
        publication.m_outcome = PublicationOutcome::Conflict;
        publication.m_version = current.m_version;
        co_await fetch(current);
        publication.m_difference = differenceSince(expectedVersion, set);
        co_return publication;
    }
    model::VersionedConfiguration next(std::move(set), expectedVersion + 1);
    const model::Digest hash = next.version().m_hash;
    const std::string name = objectName(expectedVersion + 1, hash);
    const PlatformStatus stored = co_await m_platform.putObject(name, objectText(next));
    if (stored != PlatformStatus::Ok) {
        publication.m_reason = "object store unavailable";
        co_return publication;
    }
    publication = co_await commit(current, hash);
    if (publication.m_outcome == PublicationOutcome::Accepted) {
        m_state.install(std::move(next));
        m_state.confirm(startedAt);
    }
    co_return publication;
}

adapters::Task<Publication> ConfigurationStore::commit(CurrentRow before, model::Digest hash)
{
    const std::string nonce = newToken();
    adapters::RowOperation write;
    write.m_row = CurrentRowName;
    write.m_condition = before.m_status == PlatformStatus::Absent
            ? adapters::RowCondition::Absent
            : adapters::RowCondition::Revision;
    write.m_revision = before.m_revision;
    write.m_value = boost::json::object{
            {"version", before.m_version + 1}, {"hash", model::toHex(hash)}, {"nonce", nonce}};
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
    // Another publisher was first or the outcome is unknown; the nonce in the row tells whose write
    // took effect.
    for (int attempt = 0; attempt < OutcomeReadAttempts; ++attempt) {
        const CurrentRow after = co_await readCurrent();
        if (after.m_status == PlatformStatus::Ok && after.m_revision != before.m_revision) {
            // A later version has overwritten the nonce, so the outcome of this write is unknown.
            if (after.m_version > before.m_version + 1)
                break;
            const bool own = after.m_nonce == nonce;
            publication.m_outcome =
                    own ? PublicationOutcome::Accepted : PublicationOutcome::Conflict;
            publication.m_version = after.m_version;
            co_return publication;
        }
        co_await adapters::sleepFor(OutcomeReadInterval);
    }
    publication.m_outcome = PublicationOutcome::Unknown;
    publication.m_reason = "the write was not acknowledged";
    co_return publication;
}

adapters::Task<bool> ConfigurationStore::refresh()
{
    const std::chrono::steady_clock::time_point askedAt = std::chrono::steady_clock::now();
    const CurrentRow current = co_await readCurrent();
    if (current.m_status != PlatformStatus::Ok)
        co_return current.m_status == PlatformStatus::Absent;
    const bool isUpToDate = co_await fetch(current);
    if (isUpToDate)
        m_state.confirm(askedAt);
    co_return isUpToDate;
}

adapters::Task<bool> ConfigurationStore::fetch(CurrentRow current)
{
    if (current.m_status != PlatformStatus::Ok)
        co_return false;
    if (m_state.current() && current.m_version <= m_state.current()->version())
        co_return true;
    const adapters::ObjectResult object =
            co_await m_platform.getObject(objectName(current.m_version, current.m_hash));
    if (object.m_status != PlatformStatus::Ok)
        co_return false;
    std::optional<model::VersionedConfiguration> set =
            readObject(object.m_body, current.m_version, current.m_hash);
    if (!set)
        co_return false;
    m_state.install(std::move(*set));
    co_return true;
}

} // namespace chervilmount::node
