#pragma once

#include "adapters/platform/platformclient.h"
#include "model/model.h"
#include "node/control/configurationstate.h"

#include <cstdint>
#include <string>

namespace chervilmount::node {

/** Outcome of a publication. */
enum class PublicationOutcome {
    Accepted,
    Conflict,
    Invalid,
    /** The service did not respond; the configuration may have been published. */
    Unknown,
    /** A service was unavailable and nothing was published. */
    Unavailable
};

/** Result of a publication. */
struct Publication
{
    PublicationOutcome m_outcome = PublicationOutcome::Unavailable;
    /** The published version, or the current one after a conflict. */
    std::uint64_t m_version = 0;
    model::Findings m_findings;
    /** After a conflict, the delta from the offered configuration to the current version. */
    boost::json::value m_difference;
    std::string m_reason;
};

/** Publishes configurations to the table service and object store, and reads the current one. */
class ConfigurationStore
{
public:
    /** Both arguments must outlive the store. */
    ConfigurationStore(adapters::PlatformClient &platform, ConfigurationState &state);

    /**
     * Checks and publishes a configuration.
     * @param expectedVersion the version that the configuration is based on; 0 if there is none.
     */
    adapters::Task<Publication> publish(std::string text, std::uint64_t expectedVersion);

    /** Reads the current version and puts it in force. @returns false if reading failed. */
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
