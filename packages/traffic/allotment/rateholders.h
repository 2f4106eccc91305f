#pragma once

#include <span>
#include <string>
#include <vector>

namespace chervilmount::traffic {

/** A node among which the organisations' rate limits are divided. */
struct RateSharer
{
    std::string m_node;
    std::string m_region;

    bool operator==(const RateSharer &) const = default;
};

/**
 * Selects the nodes that hold token buckets of an organisation. All nodes are selected if each
 * one's share of the burst reaches the minimum; otherwise as many as the burst allows, in
 * proportion to the nodes of each region and at least one per region. Nodes are ranked by
 * rendezvous hashing, so that a node that joins or leaves affects few organisations.
 * @param burst burst size of the organisation, in requests.
 * @param minimumHolderBurst minimum burst of each holder, in requests.
 * @returns the names of the holders.
 * @see routing::rendezvousWeight()
 */
std::vector<std::string> chooseRateHolders(std::span<const RateSharer> sharers,
                                           const std::string &organisation, double burst,
                                           double minimumHolderBurst);

} // namespace chervilmount::traffic
