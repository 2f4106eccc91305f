#pragma once

#include "membership/member/nodeid.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::membership {

/**
 * Flooding of items that are not member records over the membership graph: each item is passed to
 * all flood targets once, duplicates are dropped. There are two kinds. For a *latest* stream (e.g.
 * freshness words) only the newest item matters. A *log* stream (e.g. configuration deltas)
 * delivers every item in order; nodes offer sequence numbers and bodies are fetched once.
 */
struct FloodPosition
{
    /** Epoch of the only sender, e.g. of its lease. */
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;

    bool operator==(const FloodPosition &) const = default;
};

/** State of a latest stream. */
struct LatestStream
{
    FloodPosition m_newest;
};

/**
 * Takes in the position of an item of a latest stream.
 * @returns true if it is newer than all before: use it and pass it on to the other flood targets.
 */
bool acceptLatest(LatestStream &stream, const FloodPosition &position);

/** State of a log stream. Sequence numbers start at 1 and have no holes. */
struct LogStream
{
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Wanted
    {
        /** Nodes that have offered the item, in order of arrival. */
        std::vector<NodeKey> m_sources;
        std::size_t m_attempts = 0;
        TimePoint m_requestedAt;
    };

    /** Newest item delivered. */
    std::uint64_t m_delivered = 0;
    /** Newest item offered by anybody. */
    std::uint64_t m_newestOffered = 0;
    /** Delivered items kept for neighbours, and items that wait for earlier ones. */
    std::map<std::uint64_t, std::string> m_bodies;
    std::map<std::uint64_t, Wanted> m_wanted;
};

/** Offers all items of a log stream up to the given one. */
struct LogOffer
{
    std::uint64_t m_newest = 0;
};

/** Asks for one item of a log stream. */
struct LogRequest
{
    std::uint64_t m_sequence = 0;
};

/** One item of a log stream. */
struct LogItem
{
    std::uint64_t m_sequence = 0;
    std::string m_body;
};

/** What the caller has to carry out after a step of a log stream. */
struct LogEffects
{
    struct Request
    {
        NodeKey m_to = 0;
        LogRequest m_request;
    };

    /** Items to use, in order. */
    std::vector<LogItem> m_deliver;
    std::vector<Request> m_requests;
    /** Offer to send to all flood targets except m_exceptTo. */
    std::optional<LogOffer> m_offer;
    NodeKey m_exceptTo = 0;
    /** First and last item that no neighbour has; to be fetched from the store, then skipLog(). */
    std::optional<std::pair<std::uint64_t, std::uint64_t>> m_fetchFromStore;
};

/** Delivered items kept for neighbours that are behind; older ones come from the store. */
constexpr std::size_t LogRetention = 64;

/** Adds an item at its origin, or one fetched from the store. */
LogEffects addToLog(LogStream &stream, LogItem item);

/** Declares all items up to the given one as delivered, e.g. after a snapshot was loaded. */
LogEffects skipLog(LogStream &stream, std::uint64_t delivered);

/** Takes in an offer, also one that accompanies a heartbeat or freshness word. */
LogEffects receiveOffer(LogStream &stream, NodeKey from, const LogOffer &offer,
                        std::chrono::steady_clock::time_point now);

/** Takes in an item that was requested or sent unasked. */
LogEffects receiveItem(LogStream &stream, NodeKey from, LogItem item);

/** Returns the item asked for, if it is kept. */
std::optional<LogItem> answerRequest(const LogStream &stream, const LogRequest &request);

/** Asks other sources for items whose request was not answered; call it every 100 ms. */
LogEffects retryRequests(LogStream &stream, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
