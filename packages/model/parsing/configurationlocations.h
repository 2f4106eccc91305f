#pragma once

#include "model/configuration/objectkind.h"
#include "model/findings/sourcelocation.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::model {

/** Source locations of all objects of a configuration, by kind and index. */
struct ConfigurationLocations
{
    std::array<std::vector<SourceLocation>, ObjectKindCount> m_locations;

    std::vector<SourceLocation> &of(ObjectKind kind)
    {
        return m_locations.at(static_cast<std::size_t>(kind));
    }
    const std::vector<SourceLocation> &of(ObjectKind kind) const
    {
        return m_locations.at(static_cast<std::size_t>(kind));
    }
};

/** A configuration with the source locations of its objects. */
struct LocatedConfiguration
{
    Configuration m_configuration;
    ConfigurationLocations m_locations;
};

/** Assigns to every object its location in a single document with the given source. */
LocatedConfiguration withLocations(Configuration configuration, const std::string &source);

} // namespace chervilmount::model
