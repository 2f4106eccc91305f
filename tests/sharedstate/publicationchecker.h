#pragma once

#include "sharedstate/simulation/world.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace chervilmount::simulation {

/**
 * Checks the configuration from what operators and callers observe. Each publication withdraws the
 * key with its own number, so a served request shows which publications were in force.
 */
class PublicationChecker
{
public:
    /** An operator received "accepted". */
    void accepted(std::uint64_t publication, std::uint64_t version, Nanoseconds now);
    /** An operator received "conflict". */
    void refused(std::uint64_t publication);
    /** An operator reads the version at a node. */
    void versionSeen(int node, std::uint64_t incarnation, std::uint64_t version,
                     const std::string &hash);
    /** A caller's request with a key was served by a node with this version. */
    void served(int node, std::uint64_t key, std::uint64_t version, Nanoseconds now);
    /** Long after the last fault, a node has this version and these publications. */
    void finalState(int node, std::uint64_t version, const std::set<std::uint64_t> &publications,
                    bool fresh);

    const std::string &violation() const { return m_violation; }
    std::uint64_t observations() const { return m_observations; }
    std::uint64_t acceptedCount() const { return m_accepted.size(); }

private:
    void fail(const std::string &text);

    struct Acceptance
    {
        std::uint64_t m_version = 0;
        Nanoseconds m_time{0};
    };

    /** By publication. */
    std::map<std::uint64_t, Acceptance> m_accepted;
    /** By version. */
    std::map<std::uint64_t, std::uint64_t> m_winners;
    std::set<std::uint64_t> m_refused;
    std::map<std::pair<int, std::uint64_t>, std::uint64_t> m_versions;
    std::map<std::uint64_t, std::string> m_hashes;
    std::uint64_t m_finalVersion = 0;
    std::string m_violation;
    std::uint64_t m_observations = 0;
};

} // namespace chervilmount::simulation
