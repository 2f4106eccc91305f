#pragma once

#include "overload/admission/admissionqueue.h"
#include "overload/limit/concurrencylimit.h"
#include "overload/reason/reason.h"
#include "overload/threshold/ownthreshold.h"

#include <chrono>
#include <vector>

namespace chervilmount::overload {

/** Settings of the admission control for one backend server. */
struct AdmissionSettings
{
    LimitSettings m_limit;
    /** Maximum wait in a class with a standing queue, i.e. one that has not been empty for the
     * interval; raised to the time in which m_departuresWaited slots become free. */
    std::chrono::nanoseconds m_sojournTarget = std::chrono::milliseconds{5};
    /** Minimum sojourn target, in departures. A slow backend server frees a slot less often than
     * every 5 ms; without this minimum nearly every waiting call would be refused although slots
     * become free. */
    double m_departuresWaited = 4.0;
    /** Maximum wait in a class without a standing queue. */
    std::chrono::nanoseconds m_sojournInterval = std::chrono::milliseconds{100};
    /** Maximum queue length; the sojourn bound normally keeps the queue far shorter. */
    std::uint32_t m_maximumQueued = 1024;
    /** Whether calls above the local threshold are refused when no slot is free. */
    bool m_shedsAboveThreshold = true;
};

/** Admission control for one backend server. */
struct Admission
{
    AdmissionSettings m_settings;
    ConcurrencyLimit m_limit;
    AdmissionQueue m_queue;
    OwnThreshold m_threshold;
    /** Calls at the backend server. */
    int m_inFlight = 0;
    /** Moving average of the time that a call holds a slot, including nested calls, in seconds; 0
     * until known. */
    double m_averageSlotTime = 0.0;
    /** Estimated 10th percentile of the slot time, in seconds; 0 until known. */
    double m_lowSlotTime = 0.0;
    /** When a call last ended or a slot was last seen free. */
    std::chrono::steady_clock::time_point m_lastDeparture;
    bool m_leaving = false;
};

/** A call that arrives from another node. */
struct ArrivingCall
{
    CallNumber m_call = 0;
    NameNumber m_organisation = NoOrganisation;
    Rank m_rank = 0;
    /** The call was sent by a backend server, whose own run holds a slot until it ends. */
    bool m_nested = false;
    float m_cost = 1.0F;
    std::chrono::steady_clock::time_point m_deadline;
};

enum class Verdict { Start, Wait, Refuse };

/** Decision on an arriving call. */
struct AdmissionDecision
{
    Verdict m_verdict = Verdict::Refuse;
    Reason m_reason = Reason::QueueFull;
};

/** A waiting call that is refused as not run. */
struct RefusedCall
{
    CallNumber m_call = 0;
    Reason m_reason = Reason::SojournExceeded;
};

/** Actions on waiting calls for the node to carry out; the functions below append to it. */
struct AdmissionEffects
{
    /** Calls to send to the backend server now. */
    std::vector<CallNumber> m_started;
    /** Calls to refuse as not run now. */
    std::vector<RefusedCall> m_refused;
};

/** @returns the initial state for a backend server that has just announced its slots. */
Admission coldAdmission(const AdmissionSettings &settings, int slots);

/**
 * Decides on an arriving call. A call that starts holds a slot until finishCall().
 * @param effects receives the less important call that is displaced from a full queue, if any.
 */
AdmissionDecision arrive(Admission &admission, const ArrivingCall &arriving,
                         std::chrono::steady_clock::time_point now, AdmissionEffects &effects);

/**
 * Frees the slot of a call and starts waiting calls.
 * @param ownLatency time at the backend server without its nested calls.
 * @param slotTime time at the backend server with its nested calls.
 */
void finishCall(Admission &admission, CallResult result, std::chrono::nanoseconds ownLatency,
                std::chrono::nanoseconds slotTime, std::chrono::steady_clock::time_point now,
                AdmissionEffects &effects);

/**
 * Removes a waiting call that its caller has cancelled.
 * @returns whether it was waiting; a running call is ended with finishCall() instead.
 */
bool cancelWaiting(Admission &admission, CallNumber call);

/**
 * Refuses calls that have waited too long, starts calls if the limit has grown and updates the
 * threshold. Called every few milliseconds while calls wait, otherwise every 100 ms.
 */
void tick(Admission &admission, std::chrono::steady_clock::time_point now,
          AdmissionEffects &effects);

/** @returns the expected wait of a new call of this rank; 0 while the slot time is unknown. */
std::chrono::nanoseconds expectedWait(const Admission &admission, Rank rank);

/**
 * @returns the load reported in responses: running and waiting calls, scaled by the ratio of the
 * announced slots to the limit, so that a backend server with a lowered limit appears loaded.
 */
double carriedLoad(const Admission &admission);

} // namespace chervilmount::overload
