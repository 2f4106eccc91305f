#pragma once

#include "traffic/allotment/rateholders.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::traffic {

/** Settings of a node's view of the nodes that share the organisations' rates. */
struct RateViewSettings
{
    /** Time for which a node that cannot be reached keeps its share: it may be only cut off, and
     * then still admits requests. */
    std::chrono::milliseconds m_lostRetention{std::chrono::hours{1}};
    /** The same for a node that has released its share. Longer than any shutdown. */
    std::chrono::milliseconds m_releasedRetention{std::chrono::seconds{60}};
    /** Time after its start for which a node waits for nodes that have not answered it. Without
     * this bound one machine that is gone for good would keep all later ones from their shares. */
    std::chrono::milliseconds m_startPatience{std::chrono::seconds{30}};
    /** Time after a planned stop for which the others surely count the name; half of their
     * retention, since clocks of the time of day differ. */
    std::chrono::milliseconds m_returnTime{std::chrono::seconds{30}};
    /** Interval at which a node that does not know all nodes asks another one for them. */
    std::chrono::milliseconds m_askInterval{300};
};

/** What a node states on a link about its part in the rates. */
struct RateStatement
{
    /** Nodes among which the sender divides the rates, including itself; 0 until it takes part. */
    std::uint32_t m_counted = 0;
    /** All nodes that take part count the sender, so it takes its whole even share. */
    bool m_isEstablished = false;
    /** The sender stops, and the store says so. */
    bool m_isReleased = false;
};

/** Another node as it is counted here. */
struct RateMember
{
    std::string m_region;
    bool m_isLinked = false;
    /** It has answered this process on a link, and so counts this node. */
    bool m_hasAnswered = false;
    /** Nodes that it has stated to count; 0 while it takes no part. */
    std::uint32_t m_counted = 0;
    bool m_isEstablished = false;
    bool m_isReleased = false;
    /** When its link was lost; before the first one, when it became known. */
    std::chrono::steady_clock::time_point m_lostAt;
};

/**
 * A node's view of the nodes among which the organisations' rates are divided. Each node takes
 * 1/N of a rate, where N is the number of nodes that it counts, so the sum over all nodes is at
 * most 1 if each one that takes part counts all others that do. Therefore a node keeps counting one
 * that it has lost, and a process that has just started takes part only as far as the others are
 * known to count it:
 *
 * - It has to know all nodes, from the store or from a node that takes part.
 * - It is established, and takes its whole share, once every node has answered it, or if the store
 *   says that the name was established before: all then count it, even if they cannot be reached.
 *   A node that stops is forgotten earlier, so a later process of it has to return in time.
 * - Until then, if c established nodes are linked and u nodes are not, it takes c / (c + u) of 1/N:
 *   the u nodes may count only the c + u, and so hold 1 / (c + u) each. It waits for them for a
 *   bounded time.
 *
 * With m nodes that are not established, N = c + u + m, and the sum is at most
 * c/N + u/(c+u) + m/N * c/(c+u) = 1.
 */
struct RateView
{
    RateViewSettings m_settings;
    RateSharer m_self;
    std::chrono::steady_clock::time_point m_startedAt;
    /** The other nodes that are counted, by name. */
    std::map<std::string, RateMember> m_members;
    /** All nodes that may take part are among the members. */
    bool m_knowsNodes = false;
    /** The store says that an earlier process of this node was established. */
    bool m_wasEstablished = false;
    /** This node stops, and the store says so. */
    bool m_isReleased = false;
    bool m_isEstablished = false;
    /** Fraction of its even share that this node takes, 0 to 1. */
    double m_fraction = 0.0;
    std::chrono::steady_clock::time_point m_nextAskAt;
};

/** Records a node that the store or another node names, or that has opened a link.
 * @returns whether it is another node that was not counted before. */
bool recordNode(RateView &view, const RateSharer &node, std::chrono::steady_clock::time_point now);

/** Records what the store says of an earlier process of this node.
 * @param absence time from its planned stop to the start of this process; none if it was not
 *                stopped. */
void recordEarlierProcess(RateView &view, bool wasEstablished,
                          std::optional<std::chrono::milliseconds> absence);

/** Records that a node has answered on a link, and what it has stated there. */
void recordLink(RateView &view, const std::string &node, const RateStatement &statement);

/** Records a later statement of a linked node. */
void recordStatement(RateView &view, const std::string &node, const RateStatement &statement);

/** Records the loss of a link. */
void recordLoss(RateView &view, const std::string &node, std::chrono::steady_clock::time_point now);

/** Stops counting nodes whose retention has passed, and decides how far this node takes part; to
 * be called after each record and periodically. */
void updateView(RateView &view, std::chrono::steady_clock::time_point now);

/** @returns what this node states to the others. */
RateStatement statementOf(const RateView &view);

/** @returns the nodes that hold the rates: all counted ones including this node, or only those that
 * are known to take part while this node does not. */
std::vector<RateSharer> sharersOf(const RateView &view);

/** @returns a node to ask for the nodes that it counts, if this node needs to know more. */
std::optional<std::string> nodeToAsk(RateView &view, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
