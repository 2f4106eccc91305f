#include "overload/admission/admissionqueue.h"

#include <algorithm>
#include <bit>

namespace chervilmount::overload {

namespace {

/** Deficit that an organisation earns per round; equals the cost of an average call. */
constexpr float Quantum = 1.0F;
/** Bounds of a call's cost, so that a wrong estimate can neither block a round nor dominate it. */
constexpr float SmallestCost = 0.1F;
constexpr float LargestCost = 10.0F;

std::uint32_t takeEntry(AdmissionQueue &queue)
{
    if (queue.m_freeEntries.empty()) {
        queue.m_entries.emplace_back();
        return static_cast<std::uint32_t>(queue.m_entries.size() - 1);
    }
    const std::uint32_t index = queue.m_freeEntries.back();
    queue.m_freeEntries.pop_back();
    return index;
}

void joinRound(ClassQueue &classQueue, std::uint32_t organisation)
{
    OrganisationQueue &joining = classQueue.m_organisations[organisation];
    ++classQueue.m_waitingOrganisations;
    joining.m_deficit = 0.0F;
    if (classQueue.m_beforeTurn == NoIndex) {
        joining.m_nextInRound = organisation;
    } else {
        OrganisationQueue &before = classQueue.m_organisations[classQueue.m_beforeTurn];
        joining.m_nextInRound = before.m_nextInRound;
        before.m_nextInRound = organisation;
    }
    // The new organisation is last in the round.
    classQueue.m_beforeTurn = organisation;
}

void leaveRound(ClassQueue &classQueue, std::uint32_t organisation)
{
    std::vector<OrganisationQueue> &all = classQueue.m_organisations;
    --classQueue.m_waitingOrganisations;
    std::uint32_t before = classQueue.m_beforeTurn;
    while (all[before].m_nextInRound != organisation)
        before = all[before].m_nextInRound;
    if (before == organisation) {
        classQueue.m_beforeTurn = NoIndex;
        return;
    }
    all[before].m_nextInRound = all[organisation].m_nextInRound;
    if (classQueue.m_beforeTurn == organisation)
        classQueue.m_beforeTurn = before;
}

QueuedCall takeOut(AdmissionQueue &queue, std::uint32_t index)
{
    QueueEntry &entry = queue.m_entries[index];
    const QueuedCall queued = entry.m_queued;
    const int classNumber = classOf(queued.m_rank);
    ClassQueue &classQueue = queue.m_classes[classNumber];
    OrganisationQueue &organisation = classQueue.m_organisations[queued.m_organisation];
    if (entry.m_previous == NoIndex)
        organisation.m_first = entry.m_next;
    else
        queue.m_entries[entry.m_previous].m_next = entry.m_next;
    if (entry.m_next == NoIndex)
        organisation.m_last = entry.m_previous;
    else
        queue.m_entries[entry.m_next].m_previous = entry.m_previous;
    if (organisation.m_first == NoIndex)
        leaveRound(classQueue, queued.m_organisation);
    queue.m_freeEntries.push_back(index);
    queue.m_entryOfCall.erase(queued.m_call);
    --queue.m_size;
    if (--classQueue.m_size == 0)
        queue.m_occupied &= ~(1U << classNumber);
    return queued;
}

float costOf(const std::vector<QueueEntry> &entries, std::uint32_t index)
{
    return std::clamp(entries[index].m_queued.m_cost, SmallestCost, LargestCost);
}

void takeExpired(AdmissionQueue &queue, const OrganisationQueue &organisation,
                 std::chrono::nanoseconds target, std::chrono::nanoseconds bound,
                 std::chrono::nanoseconds interval, std::chrono::steady_clock::time_point now,
                 std::vector<QueuedCall> &expired)
{
    std::uint32_t index = organisation.m_first;
    while (index != NoIndex) {
        const QueueEntry &entry = queue.m_entries[index];
        const std::uint32_t next = entry.m_next;
        const std::chrono::nanoseconds waited = now - entry.m_queued.m_queuedAt;
        // The calls are in the order of arrival, so no later one has waited longer.
        if (waited <= target)
            return;
        if (waited > (entry.m_queued.m_nested ? interval : bound))
            expired.push_back(takeOut(queue, index));
        index = next;
    }
}

std::uint32_t nextInTurn(ClassQueue &classQueue, const std::vector<QueueEntry> &entries)
{
    for (;;) {
        const std::uint32_t turn =
                classQueue.m_organisations[classQueue.m_beforeTurn].m_nextInRound;
        OrganisationQueue &organisation = classQueue.m_organisations[turn];
        const std::uint32_t first = organisation.m_first;
        const float cost = costOf(entries, first);
        // The turn passes on as soon as the deficit is too small, so a deficit that is too small
        // here means that the organisation's turn has just begun.
        if (organisation.m_deficit < cost)
            organisation.m_deficit += Quantum;
        if (organisation.m_deficit < cost) {
            classQueue.m_beforeTurn = turn;
            continue;
        }
        organisation.m_deficit -= cost;
        const std::uint32_t following = entries[first].m_next;
        if (following == NoIndex || organisation.m_deficit < costOf(entries, following))
            classQueue.m_beforeTurn = turn;
        return first;
    }
}

} // namespace

void enqueue(AdmissionQueue &queue, const QueuedCall &queued)
{
    const int classNumber = classOf(queued.m_rank);
    ClassQueue &classQueue = queue.m_classes[classNumber];
    if (classQueue.m_organisations.size() <= queued.m_organisation)
        classQueue.m_organisations.resize(queued.m_organisation + 1);
    OrganisationQueue &organisation = classQueue.m_organisations[queued.m_organisation];
    const std::uint32_t index = takeEntry(queue);
    queue.m_entries[index] = {queued, NoIndex, organisation.m_last};
    if (organisation.m_last == NoIndex) {
        organisation.m_first = index;
        joinRound(classQueue, queued.m_organisation);
    } else {
        queue.m_entries[organisation.m_last].m_next = index;
    }
    organisation.m_last = index;
    queue.m_entryOfCall[queued.m_call] = index;
    if (classQueue.m_lastEmpty == std::chrono::steady_clock::time_point{})
        classQueue.m_lastEmpty = queued.m_queuedAt;
    ++classQueue.m_size;
    ++queue.m_size;
    queue.m_occupied |= 1U << classNumber;
}

std::optional<QueuedCall> dequeue(AdmissionQueue &queue, std::chrono::steady_clock::time_point now)
{
    if (queue.m_occupied == 0)
        return std::nullopt;
    ClassQueue &classQueue = queue.m_classes[std::countr_zero(queue.m_occupied)];
    const QueuedCall queued = takeOut(queue, nextInTurn(classQueue, queue.m_entries));
    if (classQueue.m_size == 0)
        classQueue.m_lastEmpty = now;
    return queued;
}

bool removeCall(AdmissionQueue &queue, CallNumber call)
{
    const std::unordered_map<CallNumber, std::uint32_t>::const_iterator found =
            queue.m_entryOfCall.find(call);
    if (found == queue.m_entryOfCall.end())
        return false;
    takeOut(queue, found->second);
    return true;
}

std::optional<QueuedCall> removeLeastImportant(AdmissionQueue &queue, Rank rank)
{
    if (queue.m_occupied == 0)
        return std::nullopt;
    const int classNumber = std::bit_width(queue.m_occupied) - 1;
    if (classNumber <= classOf(rank))
        return std::nullopt;
    ClassQueue &classQueue = queue.m_classes[classNumber];
    return takeOut(queue, classQueue.m_organisations[classQueue.m_beforeTurn].m_last);
}

void removeExpired(AdmissionQueue &queue, std::chrono::nanoseconds target,
                   std::chrono::nanoseconds interval, std::chrono::steady_clock::time_point now,
                   std::vector<QueuedCall> &expired)
{
    for (std::uint32_t occupied = queue.m_occupied; occupied != 0; occupied &= occupied - 1) {
        ClassQueue &classQueue = queue.m_classes[std::countr_zero(occupied)];
        const std::chrono::nanoseconds bound = sojournBound(classQueue, target, interval, now);
        std::uint32_t organisation = classQueue.m_beforeTurn;
        // Organisations leave the ring when their last call is taken out, so each step reads the
        // successor first and the ring's size bounds the walk.
        for (std::uint32_t left = classQueue.m_waitingOrganisations; left > 0; --left) {
            const std::uint32_t next = classQueue.m_organisations[organisation].m_nextInRound;
            takeExpired(queue, classQueue.m_organisations[organisation], target, bound, interval,
                        now, expired);
            organisation = next;
        }
    }
}

std::chrono::nanoseconds sojournBound(const ClassQueue &queue, std::chrono::nanoseconds target,
                                      std::chrono::nanoseconds interval,
                                      std::chrono::steady_clock::time_point now)
{
    return now - queue.m_lastEmpty > interval ? target : interval;
}

std::uint32_t waitingBefore(const AdmissionQueue &queue, Rank rank)
{
    const int classNumber = classOf(rank);
    std::uint32_t waiting = 0;
    for (int number = 0; number <= classNumber; ++number)
        waiting += queue.m_classes[number].m_size;
    return waiting;
}

} // namespace chervilmount::overload
