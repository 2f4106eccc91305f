#include "traffic/follow/policyfeed.h"

namespace chervilmount::traffic {

namespace {

/** After a loss of history, reads may be some seconds behind although they name the newest version
 * of the store. */
constexpr std::chrono::seconds RereadPeriod{10};

} // namespace

bool isRereading(const PolicyFeed &feed, std::chrono::steady_clock::time_point now)
{
    return now < feed.m_rereadsUntil;
}

void recordRead(PolicyFeed &feed, const std::optional<StoreVersion> &version)
{
    feed.m_position = version;
}

bool recordPoll(PolicyFeed &feed, const std::optional<StoreVersion> &version,
                std::chrono::steady_clock::time_point now)
{
    if (!feed.m_position || !version || !continues(*feed.m_position, *version)) {
        loseHistory(feed, now);
        return false;
    }
    feed.m_position = version;
    if (isRereading(feed, now))
        feed.m_position.reset();
    return true;
}

void loseHistory(PolicyFeed &feed, std::chrono::steady_clock::time_point now)
{
    feed.m_position.reset();
    feed.m_rereadsUntil = now + RereadPeriod;
}

} // namespace chervilmount::traffic
