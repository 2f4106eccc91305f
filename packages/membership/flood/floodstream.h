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
 * Position of an item in a stream that is flooded over the membership graph. Each item is forwarded
 * to all flood targets once and duplicates are dropped. There are two kinds of streams for items
 * that are not member records. In a *latest* stream (e.g. freshness attestations) only the newest
 * item matters. A *log* stream (e.g. configuration deltas) delivers every item in order; nodes
 * offer sequence numbers and bodies are fetched once.
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
 * Records the position of an item of a latest stream.
 * @returns true if it is newer than all earlier items: use it and forward it to the other flood
 * targets.
 */
bool acceptLatest(LatestStream &stream, const FloodPosition &position);

/** State of a log stream. Sequence numbers start at 1 and have no gaps. */
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

/** Actions that the caller has to carry out after an operation on a log stream. */
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

/** Handles an offer, including one that accompanies a heartbeat or freshness attestation. */
LogEffects receiveOffer(LogStream &stream, NodeKey from, const LogOffer &offer,
                        std::chrono::steady_clock::time_point now);

/** Handles an item, whether it was requested or not. */
LogEffects receiveItem(LogStream &stream, NodeKey from, LogItem item);

/** Returns the requested item, if it is retained. */
std::optional<LogItem> answerRequest(const LogStream &stream, const LogRequest &request);

/** Requests items from other sources after a timeout; call it every 100 ms. */
LogEffects retryRequests(LogStream &stream, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
