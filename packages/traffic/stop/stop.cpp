#include "traffic/stop/stop.h"

namespace chervilmount::traffic {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** @returns whether the shutdown was not requested or was requested less than @p time ago. */
bool isWithinPeriod(const Stop &stop, std::chrono::milliseconds time, TimePoint now)
{
    return !stop.m_requestedAt || now - *stop.m_requestedAt < time;
}

} // namespace

bool isStopping(const Stop &stop)
{
    return stop.m_requestedAt.has_value();
}

bool servesCallers(const Stop &stop, TimePoint now)
{
    return isWithinPeriod(stop, stop.m_settings.m_servesCallers, now);
}

bool servesOthers(const Stop &stop, TimePoint now)
{
    return isWithinPeriod(stop, stop.m_settings.m_servesOthers, now);
}

bool servesNestedCall(const Stop &stop, std::chrono::nanoseconds expected, TimePoint now)
{
    return !isStopping(stop) || now + expected <= latestDeadline(stop);
}

TimePoint latestDeadline(const Stop &stop)
{
    if (!stop.m_requestedAt)
        return TimePoint::max();
    return *stop.m_requestedAt + stop.m_settings.m_longest - stop.m_settings.m_sendsResponses;
}

bool givesUp(const Stop &stop, TimePoint now)
{
    // Backend servers respond on their own between the latest deadline and this time.
    return isStopping(stop) && now >= latestDeadline(stop) + stop.m_settings.m_sendsResponses / 2;
}

bool hasEnded(const Stop &stop, bool busy, TimePoint now)
{
    if (!isStopping(stop))
        return false;
    return !isWithinPeriod(stop, stop.m_settings.m_longest, now)
            || (!busy && !servesCallers(stop, now));
}

} // namespace chervilmount::traffic
