#include "model/index/routetable.h"

#include "model/index/lowercase.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace chervilmount::model {

namespace {

/** Longest host name that is looked up; routes cannot have longer ones. */
constexpr std::size_t MaximumRequestHostLength = 253;

std::size_t countSegments(std::string_view path)
{
    return path == "/" ? 0 : static_cast<std::size_t>(std::count(path.begin(), path.end(), '/'));
}

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos)
        return host;
    const std::string_view port = host.substr(colon + 1);
    const bool isPort = std::all_of(port.begin(), port.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
    return isPort ? host.substr(0, colon) : host;
}

/** Decodes the percent-encoding at @p position if it stands for '.' or a separator, and moves the
 * position to its last character. @returns the decoded character, otherwise '%'. */
char decodeEscape(std::string_view path, std::size_t &position)
{
    const std::string_view digits = path.substr(position + 1, 2);
    char decoded = '%';
    if (digits == "2e" || digits == "2E")
        decoded = '.';
    else if (digits == "2f" || digits == "2F" || digits == "5c" || digits == "5C")
        decoded = '/';
    if (decoded != '%')
        position += digits.size();
    return decoded;
}

bool hasDotSegment(std::string_view path)
{
    // Fast path: most paths have neither dots nor escapes.
    if (path.find('.') == std::string_view::npos && path.find('%') == std::string_view::npos)
        return false;
    std::size_t length = 0;
    std::size_t dots = 0;
    const auto isDotSegment = [&] { return (length == 1 || length == 2) && dots == length; };
    for (std::size_t position = 0; position < path.size(); ++position) {
        char character = path[position];
        if (character == '%')
            character = decodeEscape(path, position);
        if (character != '/' && character != '\\') {
            ++length;
            dots += character == '.' ? 1 : 0;
            continue;
        }
        if (isDotSegment())
            return true;
        length = 0;
        dots = 0;
    }
    return isDotSegment();
}

} // namespace

std::size_t StringHash::operator()(std::string_view text) const
{
    return XXH3_64bits(text.data(), text.size());
}

RouteTable::RouteTable(std::vector<Route> routes)
    : m_routes(std::move(routes))
{
    for (const Route &route : m_routes)
        insert(route);
}

const Route *RouteTable::find(std::string_view host, std::string_view method,
                              std::string_view target) const
{
    const std::string_view path = target.substr(0, target.find('?'));
    if (hasDotSegment(path))
        return nullptr;
    const std::string_view name = withoutPort(host);
    if (!m_hosts.empty() && name.size() <= MaximumRequestHostLength) {
        std::array<char, MaximumRequestHostLength> buffer{};
        std::transform(name.begin(), name.end(), buffer.begin(), lowerCase);
        const auto found = m_hosts.find(std::string_view(buffer.data(), name.size()));
        if (found != m_hosts.end()) {
            const Route *route = findIn(found->second, method, path);
            if (route != nullptr)
                return route;
        }
    }
    return findIn(m_everyHost, method, path);
}

void RouteTable::insert(const Route &route)
{
    HostEntry &host = route.m_host.empty() ? m_everyHost : m_hosts[route.m_host];
    host.m_maximumSegments = std::max(host.m_maximumSegments, countSegments(route.m_pathPrefix));
    PrefixEntry &entry = host.m_prefixes[route.m_pathPrefix];
    if (route.m_methods.empty() && entry.m_everyMethod == nullptr)
        entry.m_everyMethod = &route;
    for (const std::string &method : route.m_methods)
        entry.m_methods.emplace(method, &route);
}

const Route *RouteTable::findIn(const HostEntry &host, std::string_view method,
                                std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return nullptr;
    // Limits the path to the number of segments of the longest prefix, which bounds the cost.
    std::size_t end = 0;
    for (std::size_t segment = 0; segment < host.m_maximumSegments && end < path.size(); ++segment)
        end = std::min(path.find('/', end + 1), path.size());
    for (std::string_view prefix = path.substr(0, end); !prefix.empty();
         prefix = prefix.substr(0, prefix.rfind('/'))) {
        const auto found = host.m_prefixes.find(prefix);
        if (found == host.m_prefixes.end())
            continue;
        const Route *route = findMethod(found->second, method);
        if (route != nullptr)
            return route;
    }
    const auto root = host.m_prefixes.find(std::string_view("/"));
    return root == host.m_prefixes.end() ? nullptr : findMethod(root->second, method);
}

const Route *RouteTable::findMethod(const PrefixEntry &entry, std::string_view method)
{
    const auto found = entry.m_methods.find(method);
    if (found != entry.m_methods.end())
        return found->second;
    return entry.m_everyMethod;
}

} // namespace chervilmount::model
