#pragma once

#include "model/model.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chervilmount::node {

/** One published version of the configuration with its look-up tables. */
struct PublishedConfiguration
{
    explicit PublishedConfiguration(model::VersionedConfiguration set)
        : m_versioned(std::move(set))
        , m_index(m_versioned)
    {
    }

    std::uint64_t version() const { return m_versioned.version().m_version; }

    model::VersionedConfiguration m_versioned;
    model::ConfigurationIndex m_index;
};

/** The version of the configuration in force at this node; it never decreases. */
class ConfigurationState
{
public:
    /** @returns the version in force, or null before the first one. */
    const std::shared_ptr<const PublishedConfiguration> &current() const { return m_current; }

    /** Puts a version in force. @returns false if the current one is at least as new. */
    bool install(model::VersionedConfiguration set);

    /** Records the proof that the current version was the published one at the given time. */
    void confirm(std::chrono::steady_clock::time_point provenAt);

    /** @returns the age of the latest proof; nothing if there is none. */
    std::optional<std::chrono::nanoseconds>
    proofAge(std::chrono::steady_clock::time_point now) const;

private:
    std::shared_ptr<const PublishedConfiguration> m_current;
    std::optional<std::chrono::steady_clock::time_point> m_provenAt;
};

} // namespace chervilmount::node
