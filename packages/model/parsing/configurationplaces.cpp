#include "model/parsing/configurationplaces.h"

#include <string>
#include <utility>

namespace chervilmount::model {

PlacedConfiguration withPlaces(Configuration configuration, const std::string &source)
{
    PlacedConfiguration result;
    result.m_configuration = std::move(configuration);
    visitKinds(
            std::as_const(result.m_configuration),
            [&result, &source](ObjectKind kind, const auto &objects) {
                const std::string section = "/" + std::string(sectionName(kind)) + "/";
                for (std::size_t index = 0; index < objects.size(); ++index)
                    result.m_places.of(kind).push_back({source, section + std::to_string(index)});
            });
    return result;
}

} // namespace chervilmount::model
