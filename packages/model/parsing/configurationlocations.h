#pragma once

#include "model/configuration/objectkind.h"
#include "model/findings/sourcelocation.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::model {

/** The place of every object of a configuration, by kind and index in the vector of that kind. */
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

/** A configuration with the places that its objects were read from. */
struct LocatedConfiguration
{
    Configuration m_configuration;
    ConfigurationLocations m_locations;
};

/** Gives every object the place it has in one document with the given source. */
LocatedConfiguration withLocations(Configuration configuration, const std::string &source);

} // namespace chervilmount::model
