#pragma once

#include "overload/admission/admissionqueue.h"
#include "traffic/requestlimit/requestlimit.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilmount::traffic {

/** Settings of the admission control for one backend server. */
struct GateSettings
{
    /** Fraction of the announced slots that is used; backend servers slow down when nearly full. */
    double m_usableShare = 0.95;
    /** Maximum wait of a caller's request, as a fraction of its route's target latency; a later
     * refusal is of no use to the caller. */
    double m_callerWaitShare = 0.25;
    /** Maximum wait of a nested call, as a fraction of its route's target latency. Its caller holds
     * a slot during the wait, and a refusal wastes the work done so far. */
    double m_nestedWaitShare = 0.5;
    /** Waiting runs are ordered by importance, nested calls first; otherwise by their arrival. */
    bool m_ordersByImportance = true;
    /** Maximum queue length; bounds the memory. */
    std::uint32_t m_maximumQueued = 1024;
};

/** A request for a slot of the backend server. */
struct ArrivingRun
{
    std::uint64_t m_run = 0;
    /** 0 is the most important. */
    int m_priority = 0;
    /** Sent by a backend server on behalf of an admitted request. */
    bool m_nested = false;
    overload::NameNumber m_organisation = overload::NoOrganisation;
    std::chrono::milliseconds m_targetLatency{0};
    std::chrono::steady_clock::time_point m_deadline;
};

enum class GateVerdict { Start, Wait, Refuse };

/** Decision on an arriving run. */
struct GateDecision
{
    GateVerdict m_verdict = GateVerdict::Refuse;
    /** Expected queueing time on which the decision is based. */
    std::chrono::nanoseconds m_expectedWait{0};
    /** Time at which a waiting run that has not started is refused. */
    std::chrono::steady_clock::time_point m_waitUntil;
};

/** Admission control for one backend server: concurrency limit and queue. */
struct Gate
{
    GateSettings m_settings;
    int m_slots = 0;
    int m_running = 0;
    /** Moving average of the time that a run holds a slot, in seconds; 0 until known. */
    double m_holdSeconds = 0.0;
    /** Limit that the backend server has named. */
    RequestLimit m_requestLimit;
    overload::AdmissionQueue m_queue;
};

/** @returns the maximum number of concurrent runs at the backend server. */
int gateLimit(const Gate &gate);

/** @returns the number of concurrent runs that the backend server can keep up, from its slots and
 * the limit on requests that it has named. */
int gateCapacity(const Gate &gate);

/** Starts, queues or refuses a run. A started run holds a slot until finishRun(). */
GateDecision arriveAtGate(Gate &gate, const ArrivingRun &run,
                          std::chrono::steady_clock::time_point now);

/** Releases a slot. @param hold time for which the run held it; 0 leaves the average unchanged. */
void finishRun(Gate &gate, std::chrono::nanoseconds hold);

/** Dequeues the next waiting run if a slot is free and the limit on requests permits it; the run
 * then holds the slot. */
std::optional<std::uint64_t> startNext(Gate &gate, std::chrono::steady_clock::time_point now);

/** @returns when a waiting run may start that is held back by the limit on requests only. */
std::optional<std::chrono::steady_clock::time_point>
nextStart(const Gate &gate, std::chrono::steady_clock::time_point now);

/** Removes a run from the queue. @returns whether it was queued. */
bool removeWaiting(Gate &gate, std::uint64_t run);

} // namespace chervilmount::traffic
