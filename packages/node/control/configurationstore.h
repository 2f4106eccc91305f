#pragma once

#include "adapters/platform/platformclient.h"
#include "model/model.h"
#include "node/control/configurationstate.h"

#include <cstdint>
#include <string>

namespace chervilmount::node {

/** How a publication ended. */
enum class PublicationOutcome {
    Accepted,
    Conflict,
    Invalid,
    /** The service did not answer; the set may be in force. */
    Unknown,
    /** Nothing was written. */
    Unavailable
};

/** Result of a publication. */
struct Publication
{
    PublicationOutcome m_outcome = PublicationOutcome::Unavailable;
    /** The published version, or the present one after a conflict. */
    std::uint64_t m_version = 0;
    model::Findings m_findings;
    /** After a conflict, what the present version changes in the expected one. */
    boost::json::value m_difference;
    std::string m_reason;
};

/** Publishes the configuration in the table service and object store and reads it back. */
class ConfigurationStore
{
public:
    /** Both arguments must outlive the store. */
    ConfigurationStore(adapters::PlatformClient &platform, ConfigurationState &state);

    /**
     * Checks and publishes a set.
     * @param expectedVersion the version that the set was made from; 0 if there is none.
     */
    adapters::Task<Publication> publish(std::string text, std::uint64_t expectedVersion);

    /** Reads the current version and puts it in force. @returns false if it could not be read. */
    adapters::Task<bool> refresh();

private:
    struct CurrentRow
    {
        adapters::PlatformStatus m_status = adapters::PlatformStatus::Unknown;
        std::uint64_t m_revision = 0;
        std::uint64_t m_version = 0;
        model::Digest m_hash{};
        std::string m_nonce;
    };

    adapters::Task<CurrentRow> readCurrent();
    adapters::Task<bool> fetch(CurrentRow current);
    adapters::Task<Publication> commit(CurrentRow before, model::Digest hash);
    boost::json::value differenceSince(std::uint64_t expectedVersion,
                                       const model::Configuration &offered) const;

    adapters::PlatformClient &m_platform;
    ConfigurationState &m_state;
};

} // namespace chervilmount::node
