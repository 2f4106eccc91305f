#pragma once

#include "overload/admission/admissionqueue.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace chervilmount::traffic {

/** Settings of the admission beside one backend server. */
struct GateSettings
{
    /** Part of the announced slots that is used; backend servers slow down when nearly full. */
    double m_usableShare = 0.95;
    /** Longest wait of a caller's request, as a part of its route's target latency: a refusal that
     * comes later is of no use to the caller. */
    double m_callerWaitShare = 0.25;
    /** Longest wait of a nested call, as a part of its route's target latency. Its caller holds a
     * slot meanwhile, and refusing it wastes the work done so far. */
    double m_nestedWaitShare = 0.5;
    /** Runs that may wait; bounds the memory. */
    std::uint32_t m_maximumWaiting = 1024;
};

/** A request that asks for a slot of the backend server. */
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
    /** Expected wait that decided. */
    std::chrono::nanoseconds m_expectedWait{0};
    /** When a waiting run is refused if it has not started. */
    std::chrono::steady_clock::time_point m_waitUntil;
};

/** Admission state of the node beside one backend server. */
struct Gate
{
    GateSettings m_settings;
    int m_slots = 0;
    int m_running = 0;
    /** Average time that a run holds a slot, in seconds; 0 until known. */
    double m_holdSeconds = 0.0;
    overload::AdmissionQueue m_queue;
};

/** @returns the number of runs that may be at the backend server at once. */
int gateLimit(const Gate &gate);

/** Decides on an arriving run. A run that starts holds a slot until finishRun(). */
GateDecision arriveAtGate(Gate &gate, const ArrivingRun &run,
                          std::chrono::steady_clock::time_point now);

/** Frees a slot. @param hold time for which the run held it; 0 if the run tells nothing. */
void finishRun(Gate &gate, std::chrono::nanoseconds hold);

/** Takes the next waiting run if a slot is free; it then holds the slot. */
std::optional<std::uint64_t> startNext(Gate &gate, std::chrono::steady_clock::time_point now);

/** Removes a waiting run. @returns whether it was waiting. */
bool removeWaiting(Gate &gate, std::uint64_t run);

} // namespace chervilmount::traffic
