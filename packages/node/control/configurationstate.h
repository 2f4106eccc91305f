#pragma once

#include "model/model.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace chervilmount::node {

/** One published version of the configuration, ready for look-ups. */
struct PublishedConfiguration
{
    explicit PublishedConfiguration(model::VersionedConfiguration set)
        : m_set(std::move(set))
        , m_index(m_set)
    {
    }

    std::uint64_t version() const { return m_set.version().m_version; }

    model::VersionedConfiguration m_set;
    model::ConfigurationIndex m_index;
};

/** The version in force at this node; versions only move up. */
class ConfigurationState
{
public:
    /** @returns the version in force, or nothing. */
    const std::shared_ptr<const PublishedConfiguration> &current() const { return m_current; }

    /** Puts a version in force. @returns false if the present one is as new. */
    bool install(model::VersionedConfiguration set);

    /** Takes the proof that the present version was in force at the given time. */
    void confirm(std::chrono::steady_clock::time_point provenAt);

    /** @returns the age of the newest proof; nothing if there is none. */
    std::optional<std::chrono::nanoseconds>
    proofAge(std::chrono::steady_clock::time_point now) const;

private:
    std::shared_ptr<const PublishedConfiguration> m_current;
    std::optional<std::chrono::steady_clock::time_point> m_provenAt;
};

} // namespace chervilmount::node
