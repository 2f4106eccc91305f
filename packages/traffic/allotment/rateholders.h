#pragma once

#include <span>
#include <string>
#include <vector>

namespace chervilmount::traffic {

/** A node that takes part in the division of the organisations' rates. */
struct RateSharer
{
    std::string m_node;
    std::string m_region;

    bool operator==(const RateSharer &) const = default;
};

/**
 * Chooses the nodes that hold an organisation's tokens. All nodes hold some as long as each of
 * them gets enough of the burst; otherwise as many as the burst allows, in each region in
 * proportion to its nodes and at least one. Nodes are ranked by rendezvous hashing, so that a node
 * that comes or goes moves few organisations.
 * @param burst requests that may come at once.
 * @param leastTokens burst that each holder gets at least, in requests.
 * @returns the names of the holders.
 * @see routing::rendezvousWeight()
 */
std::vector<std::string> chooseRateHolders(std::span<const RateSharer> sharers,
                                           const std::string &organisation, double burst,
                                           double leastTokens);

} // namespace chervilmount::traffic
