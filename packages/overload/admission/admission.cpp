#include "overload/admission/admission.h"

#include "overload/deadline/deadline.h"

#include <algorithm>

namespace chervilmount::overload {

namespace {

/** Weight of one call in the moving average of the slot time. */
constexpr double AverageWeight = 0.05;
/** Step of the streaming percentile estimate, as a fraction of its value. */
constexpr double PercentileStep = 0.05;
constexpr double LowPercentile = 0.1;

std::chrono::nanoseconds fromSeconds(double seconds)
{
    return std::chrono::nanoseconds{static_cast<std::int64_t>(seconds * 1e9)};
}

bool hasFreeSlot(const Admission &admission)
{
    return admission.m_inFlight < limitNow(admission.m_limit);
}

/** @returns calls per second at the current limit and average slot time; 0 while unknown. */
double capacityNow(const Admission &admission)
{
    return admission.m_averageSlotTime > 0.0
            ? limitNow(admission.m_limit) / admission.m_averageSlotTime
            : 0.0;
}

std::chrono::nanoseconds sojournTarget(const Admission &admission)
{
    const std::chrono::nanoseconds departures =
            fromSeconds(admission.m_settings.m_departuresWaited * admission.m_averageSlotTime
                        / limitNow(admission.m_limit));
    return std::max(admission.m_settings.m_sojournTarget, departures);
}

void recordSlotTime(Admission &admission, std::chrono::nanoseconds slotTime)
{
    const double seconds = std::chrono::duration<double>(slotTime).count();
    if (admission.m_averageSlotTime == 0.0) {
        admission.m_averageSlotTime = seconds;
        admission.m_lowSlotTime = seconds;
        return;
    }
    admission.m_averageSlotTime += AverageWeight * (seconds - admission.m_averageSlotTime);
    const double step = PercentileStep * admission.m_lowSlotTime;
    admission.m_lowSlotTime += seconds > admission.m_lowSlotTime ? LowPercentile * step
                                                                 : -(1.0 - LowPercentile) * step;
}

/**
 * Raises the average slot time to the time since the last call ended, while all slots are in use.
 * This detects a slow or hanging backend server before its calls end.
 */
void noticeMissingDepartures(Admission &admission, std::chrono::steady_clock::time_point now)
{
    if (hasFreeSlot(admission)) {
        admission.m_lastDeparture = now;
        return;
    }
    const double missing = std::chrono::duration<double>(now - admission.m_lastDeparture).count();
    if (admission.m_averageSlotTime > 0.0)
        admission.m_averageSlotTime = std::max(admission.m_averageSlotTime, missing);
}

void startWaiting(Admission &admission, std::chrono::steady_clock::time_point now,
                  AdmissionEffects &effects)
{
    while (admission.m_queue.m_size > 0 && hasFreeSlot(admission)) {
        const std::optional<QueuedCall> next = dequeue(admission.m_queue, now);
        const std::chrono::nanoseconds lowSlotTime = fromSeconds(admission.m_lowSlotTime);
        if (!canMeetDeadline(std::chrono::nanoseconds{0}, lowSlotTime, next->m_deadline, now)) {
            effects.m_refused.push_back({next->m_call, Reason::DeadlineTooShort});
            recordOverloadRefusal(admission.m_threshold);
            continue;
        }
        if (now - next->m_queuedAt > sojournTarget(admission))
            recordDelay(admission.m_threshold);
        ++admission.m_inFlight;
        effects.m_started.push_back(next->m_call);
    }
}

void refuseExpired(Admission &admission, std::chrono::steady_clock::time_point now,
                   AdmissionEffects &effects)
{
    if (admission.m_queue.m_size == 0)
        return;
    const std::chrono::nanoseconds target = sojournTarget(admission);
    const std::chrono::nanoseconds interval =
            std::max(admission.m_settings.m_sojournInterval, 2 * target);
    std::vector<QueuedCall> expired;
    removeExpired(admission.m_queue, target, interval, now, expired);
    for (const QueuedCall &queued : expired) {
        effects.m_refused.push_back({queued.m_call, Reason::SojournExceeded});
        recordOverloadRefusal(admission.m_threshold);
    }
}

AdmissionDecision refuseForOverload(Admission &admission, Reason reason)
{
    recordOverloadRefusal(admission.m_threshold);
    return {Verdict::Refuse, reason};
}

AdmissionDecision waitForSlot(Admission &admission, const ArrivingCall &arriving,
                              std::chrono::steady_clock::time_point now, AdmissionEffects &effects)
{
    if (admission.m_settings.m_shedsAboveThreshold
        && arriving.m_rank > admission.m_threshold.m_rank)
        return {Verdict::Refuse, Reason::AboveThreshold};
    if (!canMeetDeadline(expectedWait(admission, arriving.m_rank),
                         fromSeconds(admission.m_lowSlotTime), arriving.m_deadline, now))
        return refuseForOverload(admission, Reason::DeadlineTooShort);
    if (admission.m_queue.m_size >= admission.m_settings.m_maximumQueued) {
        const std::optional<QueuedCall> displaced =
                removeLeastImportant(admission.m_queue, arriving.m_rank);
        if (!displaced)
            return refuseForOverload(admission, Reason::QueueFull);
        effects.m_refused.push_back({displaced->m_call, Reason::DisplacedByMoreImportant});
        recordOverloadRefusal(admission.m_threshold);
    }
    enqueue(admission.m_queue,
            {arriving.m_call, arriving.m_organisation, arriving.m_rank, arriving.m_nested,
             arriving.m_cost, arriving.m_deadline, now});
    return {Verdict::Wait, Reason::Queued};
}

} // namespace

Admission coldAdmission(const AdmissionSettings &settings, int slots)
{
    Admission admission;
    admission.m_settings = settings;
    admission.m_limit = coldLimit(settings.m_limit, slots);
    return admission;
}

AdmissionDecision arrive(Admission &admission, const ArrivingCall &arriving,
                         std::chrono::steady_clock::time_point now, AdmissionEffects &effects)
{
    if (admission.m_leaving)
        return {Verdict::Refuse, Reason::Leaving};
    updateThreshold(admission.m_threshold, capacityNow(admission), now);
    recordArrival(admission.m_threshold, arriving.m_rank);
    if (admission.m_queue.m_size > 0 || !hasFreeSlot(admission))
        return waitForSlot(admission, arriving, now, effects);
    if (!canMeetDeadline(std::chrono::nanoseconds{0}, fromSeconds(admission.m_lowSlotTime),
                         arriving.m_deadline, now))
        return {Verdict::Refuse, Reason::DeadlineTooShort};
    ++admission.m_inFlight;
    admission.m_queue.m_classes[classOf(arriving.m_rank)].m_lastEmpty = now;
    return {Verdict::Start, Reason::SlotFree};
}

void finishCall(Admission &admission, CallResult result, std::chrono::nanoseconds ownLatency,
                std::chrono::nanoseconds slotTime, std::chrono::steady_clock::time_point now,
                AdmissionEffects &effects)
{
    recordResult(admission.m_limit, admission.m_settings.m_limit, result, ownLatency,
                 admission.m_inFlight, now);
    --admission.m_inFlight;
    admission.m_lastDeparture = now;
    if (result == CallResult::Success)
        recordSlotTime(admission, slotTime);
    refuseExpired(admission, now, effects);
    startWaiting(admission, now, effects);
}

bool cancelWaiting(Admission &admission, CallNumber call)
{
    return removeCall(admission.m_queue, call);
}

void tick(Admission &admission, std::chrono::steady_clock::time_point now,
          AdmissionEffects &effects)
{
    noticeMissingDepartures(admission, now);
    refuseExpired(admission, now, effects);
    startWaiting(admission, now, effects);
    updateThreshold(admission.m_threshold, capacityNow(admission), now);
}

std::chrono::nanoseconds expectedWait(const Admission &admission, Rank rank)
{
    const double waiting = waitingBefore(admission.m_queue, rank);
    return fromSeconds(waiting * admission.m_averageSlotTime / limitNow(admission.m_limit));
}

double carriedLoad(const Admission &admission)
{
    const double calls = admission.m_inFlight + admission.m_queue.m_size;
    return calls * admission.m_limit.m_slots / limitNow(admission.m_limit);
}

} // namespace chervilmount::overload
