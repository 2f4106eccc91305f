#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chervilmount::overload {

/** Number of an organisation, service or route within one process; never sent to other nodes. */
using NameNumber = std::uint32_t;

/** Number that open requests without an organisation use. */
constexpr NameNumber NoOrganisation = 0;

/** Hash that lets a string_view be looked up without a copy. */
struct NameHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming): name set by the standard
    std::size_t operator()(std::string_view name) const
    {
        return std::hash<std::string_view>{}(name);
    }
};

/** Numbers names in the order of their first use, from 1; the empty name is number 0. */
struct NameTable
{
    std::unordered_map<std::string, NameNumber, NameHash, std::equal_to<>> m_numbers;
};

/** @returns the number of the name, which is added if it is new. */
NameNumber numberOf(NameTable &table, std::string_view name);

} // namespace chervilmount::overload
