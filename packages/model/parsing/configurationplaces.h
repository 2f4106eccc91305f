#pragma once

#include "model/configuration/objectkind.h"
#include "model/findings/place.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace chervilmount::model {

/** The place of every object of a configuration, by kind and index in the vector of that kind. */
struct ConfigurationPlaces
{
    std::array<std::vector<Place>, ObjectKinds> m_places;

    std::vector<Place> &of(ObjectKind kind) { return m_places.at(static_cast<std::size_t>(kind)); }
    const std::vector<Place> &of(ObjectKind kind) const
    {
        return m_places.at(static_cast<std::size_t>(kind));
    }
};

/** A configuration with the places that its objects were read from. */
struct PlacedConfiguration
{
    Configuration m_configuration;
    ConfigurationPlaces m_places;
};

/** Gives every object the place it has in one document with the given source. */
PlacedConfiguration withPlaces(Configuration configuration, const std::string &source);

} // namespace chervilmount::model
