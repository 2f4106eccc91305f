#include "sharedstate/publicationchecker.h"

#include <algorithm>

namespace chervilmount::simulation {

namespace {

/** A withdrawn key may work for at most this long after its withdrawal was accepted. */
constexpr Nanoseconds Bound = std::chrono::seconds(3);

} // namespace

void PublicationChecker::fail(const std::string &text)
{
    if (m_violation.empty())
        m_violation = text;
}

void PublicationChecker::accepted(std::uint64_t publication, std::uint64_t version, Nanoseconds now)
{
    ++m_observations;
    if (!m_accepted.contains(publication))
        m_accepted[publication] = {version, now};
    if (m_accepted[publication].m_version != version)
        fail("publication " + std::to_string(publication) + " was accepted as two versions");
    if (m_winners.contains(version) && m_winners[version] != publication)
        fail("two publications were accepted as version " + std::to_string(version));
    m_winners[version] = publication;
    if (m_refused.contains(publication))
        fail("publication " + std::to_string(publication) + " was refused, then accepted");
}

void PublicationChecker::refused(std::uint64_t publication)
{
    ++m_observations;
    m_refused.insert(publication);
    if (m_accepted.contains(publication))
        fail("publication " + std::to_string(publication) + " was accepted, then refused");
}

void PublicationChecker::versionSeen(int node, std::uint64_t incarnation, std::uint64_t version,
                                     const std::string &hash)
{
    std::uint64_t &last = m_versions[{node, incarnation}];
    if (version < last)
        fail("the version at node " + std::to_string(node) + " went back");
    last = version;
    if (version > 0 && m_hashes.contains(version) && m_hashes[version] != hash)
        fail("version " + std::to_string(version) + " has two contents");
    m_hashes[version] = hash;
}

void PublicationChecker::served(int node, std::uint64_t key, std::uint64_t version, Nanoseconds now)
{
    ++m_observations;
    const std::map<std::uint64_t, Acceptance>::const_iterator withdrawn = m_accepted.find(key);
    if (withdrawn != m_accepted.end() && now - withdrawn->second.m_time > Bound) {
        fail("node " + std::to_string(node) + " served withdrawn key " + std::to_string(key) + " "
             + std::to_string((now - withdrawn->second.m_time).count() / 1000000)
             + " ms after its withdrawal was accepted");
    }
    for (const auto &[publication, acceptance] : m_accepted) {
        if (acceptance.m_version > version && now - acceptance.m_time > Bound) {
            fail("node " + std::to_string(node) + " served with version " + std::to_string(version)
                 + " although version " + std::to_string(acceptance.m_version)
                 + " was accepted earlier");
        }
    }
}

void PublicationChecker::finalState(int node, std::uint64_t version,
                                    const std::set<std::uint64_t> &publications, bool fresh)
{
    if (!fresh)
        fail("node " + std::to_string(node) + " has no proof long after the last fault");
    if (m_finalVersion != 0 && version != m_finalVersion)
        fail("nodes differ in their version long after the last fault");
    m_finalVersion = version;
    for (const auto &[publication, acceptance] : m_accepted) {
        if (!publications.contains(publication))
            fail("accepted publication " + std::to_string(publication) + " is not in force");
    }
    for (const std::uint64_t publication : m_refused) {
        if (publications.contains(publication))
            fail("refused publication " + std::to_string(publication) + " is in force");
    }
}

} // namespace chervilmount::simulation
