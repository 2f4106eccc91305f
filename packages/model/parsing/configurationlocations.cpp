#include "model/parsing/configurationlocations.h"

#include <string>
#include <utility>

namespace chervilmount::model {

LocatedConfiguration withLocations(Configuration configuration, const std::string &source)
{
    LocatedConfiguration result;
    result.m_configuration = std::move(configuration);
    visitKinds(std::as_const(result.m_configuration),
               [&result, &source](ObjectKind kind, const auto &objects) {
                   const std::string section = "/" + std::string(sectionName(kind)) + "/";
                   for (std::size_t index = 0; index < objects.size(); ++index)
                       result.m_locations.of(kind).push_back(
                               {source, section + std::to_string(index)});
               });
    return result;
}

} // namespace chervilmount::model
