#include "overload/names/nametable.h"

namespace chervilmount::overload {

NameNumber numberOf(NameTable &table, std::string_view name)
{
    if (name.empty())
        return NoOrganisation;
    const std::unordered_map<std::string, NameNumber, NameHash, std::equal_to<>>::const_iterator
            found = table.m_numbers.find(name);
    if (found != table.m_numbers.end())
        return found->second;
    const NameNumber number = static_cast<NameNumber>(table.m_numbers.size()) + 1;
    table.m_numbers.emplace(std::string(name), number);
    return number;
}

} // namespace chervilmount::overload
