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
 * one's share of the burst reaches the minimum; otherwise as many as the burst allows, the same
 * number in each region as far as possible and at least one per region. Nodes are ranked by
 * rendezvous hashing, so that a node that joins or leaves affects few organisations.
 *
 * A node that is added to the list never improves the rank of another one, and the number of
 * holders does not depend on the list unless it is shorter. So if all of the nodes that are in use
 * select from lists that contain them all, and each selected one takes 1 / (number of holders), the
 * sum is at most 1 although the lists differ.
 * @param burst burst size of the organisation, in requests.
 * @param minimumHolderBurst minimum burst of each holder, in requests.
 * @returns the names of the holders.
 * @see routing::rendezvousWeight()
 */
std::vector<std::string> chooseRateHolders(std::span<const RateSharer> sharers,
                                           const std::string &organisation, double burst,
                                           double minimumHolderBurst);

} // namespace chervilmount::traffic
