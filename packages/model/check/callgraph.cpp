#include "model/check/callgraph.h"

#include "model/request/requestcontext.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <unordered_map>

namespace chervilmount::model {

namespace {

using Edges = std::vector<std::vector<std::size_t>>;

constexpr std::size_t None = std::numeric_limits<std::size_t>::max();

Edges callsByIndex(const std::vector<Service> &services)
{
    std::unordered_map<std::string_view, std::size_t> indices;
    for (std::size_t index = 0; index < services.size(); ++index)
        indices.emplace(services[index].m_name, index);
    Edges edges(services.size());
    for (std::size_t caller = 0; caller < services.size(); ++caller) {
        for (const std::string &callee : services[caller].m_calls) {
            const auto found = indices.find(callee);
            if (found != indices.end())
                edges[caller].push_back(found->second);
        }
    }
    return edges;
}

/** Strongly connected components by Tarjan's algorithm. Iterative, because a long chain of calls in
 * a published configuration would overflow the stack. */
class Components
{
public:
    explicit Components(const Edges &edges)
        : m_edges(edges)
        , m_order(edges.size(), None)
        , m_low(edges.size(), 0)
        , m_component(edges.size(), None)
    {
        for (std::size_t node = 0; node < edges.size(); ++node) {
            if (m_order[node] == None)
                visitFrom(node);
        }
    }

    std::size_t of(std::size_t node) const { return m_component[node]; }

    /** Members of each component; callees come before their callers. */
    const std::vector<std::vector<std::size_t>> &members() const { return m_members; }

private:
    struct Visit
    {
        std::size_t m_node;
        std::size_t m_nextEdge;
    };

    void visitFrom(std::size_t root)
    {
        enter(root);
        while (!m_visits.empty()) {
            Visit &visit = m_visits.back();
            const std::size_t node = visit.m_node;
            if (visit.m_nextEdge < m_edges[node].size()) {
                const std::size_t callee = m_edges[node][visit.m_nextEdge++];
                if (m_order[callee] == None)
                    enter(callee);
                else if (m_component[callee] == None)
                    m_low[node] = std::min(m_low[node], m_order[callee]);
                continue;
            }
            m_visits.pop_back();
            if (!m_visits.empty())
                m_low[m_visits.back().m_node] =
                        std::min(m_low[m_visits.back().m_node], m_low[node]);
            if (m_low[node] == m_order[node])
                closeComponent(node);
        }
    }

    void enter(std::size_t node)
    {
        m_order[node] = m_count;
        m_low[node] = m_count;
        ++m_count;
        m_stack.push_back(node);
        m_visits.push_back({node, 0});
    }

    void closeComponent(std::size_t node)
    {
        std::vector<std::size_t> &members = m_members.emplace_back();
        std::size_t member = None;
        while (member != node) {
            member = m_stack.back();
            m_stack.pop_back();
            m_component[member] = m_members.size() - 1;
            members.push_back(member);
        }
    }

    const Edges &m_edges;
    std::vector<std::size_t> m_order;
    std::vector<std::size_t> m_low;
    std::vector<std::size_t> m_component;
    std::vector<std::size_t> m_stack;
    std::vector<Visit> m_visits;
    std::vector<std::vector<std::size_t>> m_members;
    std::size_t m_count = 0;
};

/** @returns the shortest cycle through @p start within its component; empty if there is none. */
std::vector<std::size_t> cycleThrough(std::size_t start, const Edges &edges,
                                      const Components &components)
{
    std::unordered_map<std::size_t, std::size_t> callers;
    std::vector<std::size_t> queue{start};
    for (std::size_t position = 0; position < queue.size(); ++position) {
        const std::size_t node = queue[position];
        for (const std::size_t callee : edges[node]) {
            if (callee == start) {
                std::vector<std::size_t> cycle;
                for (std::size_t step = node; step != start; step = callers.at(step))
                    cycle.push_back(step);
                cycle.push_back(start);
                std::reverse(cycle.begin(), cycle.end());
                return cycle;
            }
            if (components.of(callee) == components.of(start)
                && callers.emplace(callee, node).second)
                queue.push_back(callee);
        }
    }
    return {};
}

/** Finds paths longer than MaximumPathDepth; calls within a cycle are ignored. */
std::vector<std::vector<std::size_t>> longPaths(const Edges &edges, const Components &components)
{
    std::vector<std::size_t> depth(edges.size(), 1);
    std::vector<std::size_t> next(edges.size(), None);
    std::vector<bool> isCalled(edges.size(), false);
    for (const std::vector<std::size_t> &members : components.members()) {
        for (const std::size_t node : members) {
            for (const std::size_t callee : edges[node]) {
                if (components.of(callee) == components.of(node))
                    continue;
                isCalled[callee] = true;
                if (depth[callee] + 1 > depth[node]) {
                    depth[node] = depth[callee] + 1;
                    next[node] = callee;
                }
            }
        }
    }
    std::vector<std::vector<std::size_t>> paths;
    for (std::size_t node = 0; node < edges.size(); ++node) {
        if (isCalled[node] || depth[node] <= static_cast<std::size_t>(MaximumPathDepth))
            continue;
        std::vector<std::size_t> &path = paths.emplace_back();
        for (std::size_t step = node; step != None; step = next[step])
            path.push_back(step);
    }
    return paths;
}

} // namespace

CallGraphProblems findCallGraphProblems(const std::vector<Service> &services)
{
    const Edges edges = callsByIndex(services);
    const Components components(edges);
    CallGraphProblems problems;
    for (const std::vector<std::size_t> &members : components.members()) {
        const std::size_t first = *std::min_element(members.begin(), members.end());
        std::vector<std::size_t> cycle = cycleThrough(first, edges, components);
        if (!cycle.empty())
            problems.m_cycles.push_back(std::move(cycle));
    }
    std::sort(problems.m_cycles.begin(), problems.m_cycles.end());
    problems.m_longPaths = longPaths(edges, components);
    return problems;
}

} // namespace chervilmount::model
