#include "traffic/placement/placement.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace chervilmount::traffic {

namespace {

using Seconds = std::chrono::duration<double>;

/** Hold time that is assumed until a backend server has answered. */
constexpr double UnknownHoldSeconds = 0.1;
/** Slot utilisation above which a backend server is expected to become slower. */
constexpr double BusyUtilisation = 0.7;

double slotUtilisation(const Target &target)
{
    const double runs =
            target.m_load.m_running + target.m_load.m_waiting + target.m_sentSinceReport;
    return (runs + 1.0) / std::max(1, target.m_load.m_limit);
}

/** @returns the lowest reported hold time. It is assumed for backend servers that have not answered
 * yet, so that they get requests and their hold time becomes known. */
double fastestHold(std::span<const Target *const> targets)
{
    double fastest = 0.0;
    for (const Target *target : targets) {
        const double hold = target->m_load.m_holdSeconds;
        if (hold > 0 && (fastest <= 0 || hold < fastest))
            fastest = hold;
    }
    return fastest > 0 ? fastest : UnknownHoldSeconds;
}

struct Cost
{
    double m_seconds = 0.0;
    double m_waitSeconds = 0.0;
};

Cost expectedCost(const Target &target, double unknownHold, const PlacementRequest &request,
                  const PlacementSettings &settings)
{
    // The queueing time depends on the runs at the backend server, not on the route of this call.
    const double hold = target.m_load.m_holdSeconds > 0 ? target.m_load.m_holdSeconds : unknownHold;
    Cost cost;
    const double waitShare = request.m_goesFirst ? settings.m_topPriorityWaitShare : 1.0;
    cost.m_waitSeconds = std::max(0.0, slotUtilisation(target) - 1.0) * hold * waitShare;
    const double relative = target.m_load.m_relativeHold;
    const double own = settings.m_usesRelativeHold && request.m_holdSeconds > 0 && relative > 0
            ? request.m_holdSeconds * relative
            : hold;
    cost.m_seconds = own + cost.m_waitSeconds;
    // Distributes calls over the targets before one is full, in proportion to the free slots.
    cost.m_seconds += std::max(0.0, slotUtilisation(target) - BusyUtilisation) * hold * waitShare;
    if (!target.m_node.empty())
        cost.m_seconds += Seconds(settings.m_nodePenalty).count();
    if (target.m_place != routing::Place::SameFailureDomain)
        cost.m_seconds += Seconds(settings.m_domainPenalty).count();
    if (target.m_place == routing::Place::OtherRegion)
        cost.m_seconds += Seconds(settings.m_regionPenalty).count();
    return cost;
}

using Indices = std::vector<std::size_t>;

/** Keeps a random sample of at most the given size, and this node if it is among the targets. */
void sampleTargets(Indices &indices, std::span<const Target *const> targets, std::size_t count,
                   std::mt19937_64 &random)
{
    const auto self = std::find_if(indices.begin(), indices.end(), [&](std::size_t index) {
        return targets[index]->m_node.empty();
    });
    std::size_t kept = 0;
    if (self != indices.end()) {
        std::iter_swap(indices.begin(), self);
        kept = 1;
    }
    const std::size_t size = std::min(indices.size(), kept + count);
    for (; kept < size; ++kept) {
        std::uniform_int_distribution<std::size_t> rest(kept, indices.size() - 1);
        std::swap(indices[kept], indices[rest(random)]);
    }
    indices.resize(size);
}

/** @returns the targets to be compared, in the order in which they were passed. */
Indices selectCandidates(std::span<const Target *const> targets, const PlacementRequest &request,
                         const PlacementSettings &settings, std::mt19937_64 &random,
                         std::chrono::steady_clock::time_point now)
{
    std::array<Indices, routing::Places> byPlace;
    Indices ejected;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const Target &target = *targets[index];
        if (std::find(request.m_tried.begin(), request.m_tried.end(), target.m_node)
            != request.m_tried.end())
            continue;
        if (target.m_isSilent || routing::isEjected(target.m_outlier, now))
            ejected.push_back(index);
        else
            byPlace.at(static_cast<std::size_t>(target.m_place)).push_back(index);
    }
    Indices candidates;
    for (Indices &indices : byPlace) {
        sampleTargets(indices, targets, settings.m_candidatesPerPlace, random);
        candidates.insert(candidates.end(), indices.begin(), indices.end());
    }
    return candidates.empty() ? ejected : candidates;
}

void keepRandomLocalTarget(Indices &candidates, std::span<const Target *const> targets,
                           std::mt19937_64 &random)
{
    Indices near;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
                 [&targets](std::size_t index) {
                     return targets[index]->m_place != routing::Place::OtherRegion
                             && slotUtilisation(*targets[index]) < BusyUtilisation;
                 });
    if (near.empty())
        return;
    std::uniform_int_distribution<std::size_t> any(0, near.size() - 1);
    candidates = {near[any(random)]};
}

} // namespace

std::optional<Placement> choosePlacement(std::span<const Target *const> targets,
                                         const PlacementRequest &request,
                                         const PlacementSettings &settings, std::mt19937_64 &random,
                                         std::chrono::steady_clock::time_point now)
{
    std::optional<std::size_t> best;
    Cost bestCost;
    const double unknownHold = fastestHold(targets);
    Indices candidates = selectCandidates(targets, request, settings, random, now);
    if (!request.m_goesFirst
        && std::uniform_real_distribution<double>()(random) < settings.m_explorationShare)
        keepRandomLocalTarget(candidates, targets, random);
    for (const std::size_t index : candidates) {
        const Cost cost = expectedCost(*targets[index], unknownHold, request, settings);
        if (best && cost.m_seconds >= bestCost.m_seconds)
            continue;
        best = index;
        bestCost = cost;
    }
    if (!best)
        return std::nullopt;
    return Placement{
            *best,
            std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(bestCost.m_waitSeconds))};
}

} // namespace chervilmount::traffic
