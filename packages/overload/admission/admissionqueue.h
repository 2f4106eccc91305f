#pragma once

#include "overload/names/nametable.h"
#include "overload/rank/rank.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chervilmount::overload {

/** Identifier of an attempt; unique within the node. */
using CallNumber = std::uint64_t;

/** A call that waits for a slot. */
struct QueuedCall
{
    CallNumber m_call = 0;
    NameNumber m_organisation = NoOrganisation;
    Rank m_rank = 0;
    /** The caller holds a slot of another backend server while it waits; a refusal would waste its
     * work. */
    bool m_nested = false;
    /** Cost in the deficit round robin: expected slot time relative to the service's average, times
     * the smallest rate of any organisation divided by this organisation's rate. An organisation
     * earns 1 per round, so a call that costs more waits for several rounds. */
    float m_cost = 1.0F;
    std::chrono::steady_clock::time_point m_deadline;
    std::chrono::steady_clock::time_point m_queuedAt;
};

/** Invalid index of a queue entry or organisation. */
constexpr std::uint32_t NoIndex = 0xffffffff;

/** FIFO queue of the waiting calls of one organisation in one class. */
struct OrganisationQueue
{
    std::uint32_t m_first = NoIndex;
    std::uint32_t m_last = NoIndex;
    /** Next organisation in the round; only valid while the queue is not empty. */
    std::uint32_t m_nextInRound = NoIndex;
    float m_deficit = 0.0F;
};

/** Waiting calls of one pair of priority and over-use level. */
struct ClassQueue
{
    /** Indexed by the organisation's number. */
    std::vector<OrganisationQueue> m_organisations;
    /** Predecessor of the organisation whose turn it is, in the ring of those with waiting calls.
     */
    std::uint32_t m_beforeTurn = NoIndex;
    std::uint32_t m_waitingOrganisations = 0;
    std::uint32_t m_size = 0;
    /** When a call of this class last found a free slot or was the last to be dequeued. */
    std::chrono::steady_clock::time_point m_lastEmpty;
};

/** Node of the linked lists of waiting calls. */
struct QueueEntry
{
    QueuedCall m_queued;
    std::uint32_t m_next = NoIndex;
    std::uint32_t m_previous = NoIndex;
};

/**
 * Queue of calls that wait for a slot, with strict priority between classes and deficit round robin
 * between the organisations of a class.
 */
struct AdmissionQueue
{
    std::array<ClassQueue, RankClasses> m_classes;
    std::vector<QueueEntry> m_entries;
    std::vector<std::uint32_t> m_freeEntries;
    std::unordered_map<CallNumber, std::uint32_t> m_entryOfCall;
    /** Bit c is set while class c has waiting calls. */
    std::uint32_t m_occupied = 0;
    std::uint32_t m_size = 0;
};

/** Appends a call to its organisation's queue. */
void enqueue(AdmissionQueue &queue, const QueuedCall &queued);

/** Removes and returns the next call; nothing if the queue is empty. */
std::optional<QueuedCall> dequeue(AdmissionQueue &queue, std::chrono::steady_clock::time_point now);

/** Removes a call, for example because it was cancelled. @returns whether it was waiting. */
bool removeCall(AdmissionQueue &queue, CallNumber call);

/** Removes and returns the newest call of the least important class, if that class is less
 * important than the rank. */
std::optional<QueuedCall> removeLeastImportant(AdmissionQueue &queue, Rank rank);

/**
 * Removes every call that has waited longer than the sojourn bound of its class, and appends it to
 * @p expired. The bound of nested calls is always the interval.
 */
void removeExpired(AdmissionQueue &queue, std::chrono::nanoseconds target,
                   std::chrono::nanoseconds interval, std::chrono::steady_clock::time_point now,
                   std::vector<QueuedCall> &expired);

/** @returns the maximum wait in the class: the target for a standing queue, else the interval. */
std::chrono::nanoseconds sojournBound(const ClassQueue &queue, std::chrono::nanoseconds target,
                                      std::chrono::nanoseconds interval,
                                      std::chrono::steady_clock::time_point now);

/** @returns the number of waiting calls that precede a new call of this rank. */
std::uint32_t waitingBefore(const AdmissionQueue &queue, Rank rank);

} // namespace chervilmount::overload
