#pragma once

#include "model/configuration/configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace chervilmount::node {

/** One published version of the configuration, ready for look-ups. */
struct ConfigurationVersion
{
    std::uint64_t m_version = 0;
    std::string m_hash;
    /** The set as it was published. */
    std::string m_text;
    model::Configuration m_set;
    /** Organisation by key digest. */
    std::map<std::string, std::string, std::less<>> m_organisationByDigest;
    /** Level by priority name. */
    std::map<std::string, int, std::less<>> m_levelByPriority;
};

/** Builds the look-up tables of a version. */
std::shared_ptr<const ConfigurationVersion> makeVersion(std::uint64_t version, std::string hash,
                                                        std::string text, model::Configuration set);

/** @returns the first route that matches, by longest path prefix and then host; or nothing. */
const model::Route *findRoute(const ConfigurationVersion &configuration, std::string_view host,
                              std::string_view method, std::string_view target);

/** The version in force at this node; versions only move up. */
class ConfigurationState
{
public:
    /** @returns the version in force, or nothing. */
    const std::shared_ptr<const ConfigurationVersion> &current() const { return m_current; }

    /** Puts a version in force. @returns false if the present one is as new. */
    bool install(std::shared_ptr<const ConfigurationVersion> version);

private:
    std::shared_ptr<const ConfigurationVersion> m_current;
};

} // namespace chervilmount::node
