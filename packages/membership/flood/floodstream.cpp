#include "membership/flood/floodstream.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chervilmount::membership {

namespace {

/** Exceeds the round trip time between regions, so that a slow reply causes no second request. */
constexpr std::chrono::milliseconds RequestTimeout{200};
/** Requests for one item, over all sources, after which it is fetched from the store. */
constexpr std::size_t RequestsBeforeStore = 4;
/** Items requested ahead of the delivered one; a longer gap is filled from the store. */
constexpr std::uint64_t LongestGap = LogRetention;

void deliver(LogStream &stream, LogEffects &effects, NodeKey from)
{
    const std::uint64_t before = stream.m_delivered;
    for (auto next = stream.m_bodies.find(stream.m_delivered + 1); next != stream.m_bodies.end();
         next = stream.m_bodies.find(stream.m_delivered + 1)) {
        effects.m_deliver.push_back({next->first, next->second});
        ++stream.m_delivered;
    }
    while (!stream.m_bodies.empty()
           && stream.m_bodies.begin()->first + LogRetention <= stream.m_delivered) {
        stream.m_bodies.erase(stream.m_bodies.begin());
    }
    stream.m_wanted.erase(stream.m_wanted.begin(), stream.m_wanted.upper_bound(stream.m_delivered));
    if (stream.m_delivered == before)
        return;
    effects.m_offer = LogOffer{stream.m_delivered};
    effects.m_exceptTo = from;
}

void request(LogStream::Wanted &wanted, std::uint64_t sequence, LogEffects &effects,
             std::chrono::steady_clock::time_point now)
{
    const NodeKey source = wanted.m_sources[wanted.m_attempts % wanted.m_sources.size()];
    ++wanted.m_attempts;
    wanted.m_requestedAt = now;
    effects.m_requests.push_back({source, {sequence}});
}

} // namespace

bool acceptLatest(LatestStream &stream, const FloodPosition &position)
{
    if (std::tie(position.m_epoch, position.m_sequence)
        <= std::tie(stream.m_newest.m_epoch, stream.m_newest.m_sequence)) {
        return false;
    }
    stream.m_newest = position;
    return true;
}

LogEffects addToLog(LogStream &stream, LogItem item)
{
    return receiveItem(stream, 0, std::move(item));
}

LogEffects skipLog(LogStream &stream, std::uint64_t delivered)
{
    LogEffects effects;
    if (delivered <= stream.m_delivered)
        return effects;
    stream.m_delivered = delivered;
    stream.m_newestOffered = std::max(stream.m_newestOffered, delivered);
    effects.m_offer = LogOffer{delivered};
    deliver(stream, effects, 0);
    return effects;
}

LogEffects receiveOffer(LogStream &stream, NodeKey from, const LogOffer &offer,
                        std::chrono::steady_clock::time_point now)
{
    LogEffects effects;
    stream.m_newestOffered = std::max(stream.m_newestOffered, offer.m_newest);
    if (offer.m_newest <= stream.m_delivered)
        return effects;
    if (offer.m_newest - stream.m_delivered > LongestGap) {
        effects.m_fetchFromStore = {stream.m_delivered + 1, offer.m_newest};
        return effects;
    }
    for (std::uint64_t sequence = stream.m_delivered + 1; sequence <= offer.m_newest; ++sequence) {
        if (stream.m_bodies.count(sequence) != 0)
            continue;
        LogStream::Wanted &wanted = stream.m_wanted[sequence];
        std::vector<NodeKey> &sources = wanted.m_sources;
        if (std::find(sources.begin(), sources.end(), from) == sources.end())
            sources.push_back(from);
        if (wanted.m_attempts == 0)
            request(wanted, sequence, effects, now);
    }
    return effects;
}

LogEffects receiveItem(LogStream &stream, NodeKey from, LogItem item)
{
    LogEffects effects;
    const bool tooFar = item.m_sequence > stream.m_delivered + LongestGap;
    if (item.m_sequence <= stream.m_delivered || tooFar)
        return effects;
    stream.m_newestOffered = std::max(stream.m_newestOffered, item.m_sequence);
    stream.m_wanted.erase(item.m_sequence);
    stream.m_bodies.emplace(item.m_sequence, std::move(item.m_body));
    deliver(stream, effects, from);
    return effects;
}

std::optional<LogItem> answerRequest(const LogStream &stream, const LogRequest &request)
{
    const auto found = stream.m_bodies.find(request.m_sequence);
    if (found == stream.m_bodies.end())
        return std::nullopt;
    return LogItem{found->first, found->second};
}

LogEffects retryRequests(LogStream &stream, std::chrono::steady_clock::time_point now)
{
    LogEffects effects;
    for (auto &[sequence, wanted] : stream.m_wanted) {
        if (now - wanted.m_requestedAt < RequestTimeout)
            continue;
        if (wanted.m_attempts >= RequestsBeforeStore) {
            wanted.m_attempts = 0;
            wanted.m_requestedAt = now;
            if (!effects.m_fetchFromStore)
                effects.m_fetchFromStore = {sequence, sequence};
            effects.m_fetchFromStore->second = sequence;
        } else {
            request(wanted, sequence, effects, now);
        }
    }
    return effects;
}

} // namespace chervilmount::membership
