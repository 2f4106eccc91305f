#pragma once

#include "model/configuration/route.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilmount::model {

/** Transparent hash for strings and string views, so that a look-up needs no copy. */
struct StringHash
{
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    std::size_t operator()(std::string_view text) const;
};

/** A map with string keys that supports look-ups by string view. */
template<typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

/**
 * Looks up routes by host, method and path. The first match in this order is taken:
 *
 * 1. routes of the request's host before routes of every host;
 * 2. of these, the longest path prefix;
 * 3. of these, a route that lists the method before a route that matches every method.
 *
 * Routes whose methods do not match are skipped. The cost of a look-up depends on the number of
 * segments of the longest prefix, not on the number of routes.
 *
 * A path with a segment "." or "..", plain or percent-encoded, matches no route: a backend server
 * that normalises it would serve a path outside the matched route, which may need no key.
 */
class RouteTable
{
public:
    RouteTable() = default;

    /** @param routes the routes of a checked configuration. */
    explicit RouteTable(std::vector<Route> routes);

    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;
    RouteTable(RouteTable &&) = default;
    RouteTable &operator=(RouteTable &&) = default;
    ~RouteTable() = default;

    /**
     * @param host value of the Host header, case-insensitive; a port is ignored.
     * @param method the method, case-sensitive.
     * @param target path of the request; a query is ignored.
     * @returns the route, or nullptr; valid for the lifetime of the table.
     */
    const Route *find(std::string_view host, std::string_view method,
                      std::string_view target) const;

private:
    /** Routes with the same host and prefix. */
    struct PrefixEntry
    {
        const Route *m_everyMethod = nullptr;
        StringMap<const Route *> m_methods;
    };

    struct HostEntry
    {
        /** Number of segments of the longest prefix. */
        std::size_t m_maximumSegments = 0;
        StringMap<PrefixEntry> m_prefixes;
    };

    void insert(const Route &route);
    static const Route *findIn(const HostEntry &host, std::string_view method,
                               std::string_view path);
    static const Route *findMethod(const PrefixEntry &entry, std::string_view method);

    std::vector<Route> m_routes;
    StringMap<HostEntry> m_hosts;
    HostEntry m_everyHost;
};

} // namespace chervilmount::model
