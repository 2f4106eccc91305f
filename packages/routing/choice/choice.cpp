#include "routing/choice/choice.h"

#include <algorithm>
#include <array>

namespace chervilmount::routing {

namespace {

/** Eligible candidates of one place. */
struct Eligible
{
    std::array<std::uint32_t, LargestSubset> m_indexes{};
    std::array<double, LargestSubset> m_weights{};
    std::size_t m_count = 0;
    double m_weightSum = 0.0;
};

bool canBeChosen(const ServiceCandidates &candidates, std::uint32_t index,
                 const ChoiceRequest &request, std::chrono::steady_clock::time_point now)
{
    const Candidate &candidate = candidates.m_candidates[index];
    // After an ejection, calls are sent one at a time until one succeeds.
    const bool onTrial = candidate.m_outlier.m_ejections > 0 && candidate.m_inFlight > 0;
    return !candidate.m_member.m_excluded && !isEjected(candidate.m_outlier, now) && !onTrial
            && std::find(request.m_tried.begin(), request.m_tried.end(), index)
            == request.m_tried.end();
}

void add(Eligible &eligible, std::uint32_t index, double weight)
{
    if (eligible.m_count == LargestSubset)
        return;
    eligible.m_indexes[eligible.m_count] = index;
    eligible.m_weights[eligible.m_count] = weight;
    ++eligible.m_count;
    eligible.m_weightSum += weight;
}

std::size_t draw(const Eligible &eligible, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> distribution(0.0, eligible.m_weightSum);
    double left = distribution(random);
    for (std::size_t place = 0; place + 1 < eligible.m_count; ++place) {
        left -= eligible.m_weights[place];
        if (left < 0.0)
            return place;
    }
    return eligible.m_count - 1;
}

std::uint32_t lessLoadedOfTwo(const ServiceCandidates &candidates, Eligible eligible,
                              const RoutingSettings &settings,
                              std::chrono::steady_clock::time_point now, std::mt19937_64 &random)
{
    const std::size_t firstPlace = draw(eligible, random);
    const std::uint32_t first = eligible.m_indexes[firstPlace];
    if (eligible.m_count == 1)
        return first;
    eligible.m_weightSum -= eligible.m_weights[firstPlace];
    --eligible.m_count;
    eligible.m_indexes[firstPlace] = eligible.m_indexes[eligible.m_count];
    eligible.m_weights[firstPlace] = eligible.m_weights[eligible.m_count];
    const std::uint32_t second = eligible.m_indexes[draw(eligible, random)];
    return loadPerSlot(candidates.m_candidates[second], settings, now)
                    < loadPerSlot(candidates.m_candidates[first], settings, now)
            ? second
            : first;
}

overload::Reason reasonFor(Place place)
{
    switch (place) {
    case Place::SameFailureDomain:
        return overload::Reason::SameFailureDomain;
    case Place::SameRegion:
        return overload::Reason::SameRegion;
    case Place::OtherRegion:
        return overload::Reason::OtherRegion;
    }
    return overload::Reason::NoCandidate;
}

} // namespace

Choice choose(const ServiceCandidates &candidates, const ChoiceRequest &request,
              const LinkBudget &link, const RoutingSettings &settings,
              std::chrono::steady_clock::time_point now, std::mt19937_64 &random)
{
    std::array<Eligible, Places> admitting;
    std::array<Eligible, Places> shedding;
    for (std::uint32_t index = 0; index < candidates.m_candidates.size(); ++index) {
        if (!canBeChosen(candidates, index, request, now))
            continue;
        const Candidate &candidate = candidates.m_candidates[index];
        const bool admits = request.m_rank <= candidateThreshold(candidate, request.m_route, now);
        const std::size_t place = static_cast<std::size_t>(candidate.m_member.m_place);
        add(admits ? admitting[place] : shedding[place], index,
            drawWeight(candidate, settings, now));
    }
    const bool linkOpen = request.m_crossRegion && coversBytes(link, request.m_estimatedBytes, now);
    bool linkWanted = false;
    for (const std::array<Eligible, Places> *group : {&admitting, &shedding}) {
        for (std::size_t place = 0; place < Places; ++place) {
            const Eligible &eligible = (*group)[place];
            if (eligible.m_count == 0)
                continue;
            if (static_cast<Place>(place) == Place::OtherRegion && !linkOpen) {
                linkWanted = request.m_crossRegion;
                continue;
            }
            return {lessLoadedOfTwo(candidates, eligible, settings, now, random),
                    reasonFor(static_cast<Place>(place))};
        }
    }
    return {std::nullopt,
            linkWanted ? overload::Reason::LinkBudgetSpent : overload::Reason::NoCandidate};
}

void recordCallStart(ServiceCandidates &candidates, std::uint32_t index, double estimatedBytes,
                     LinkBudget &link, std::chrono::steady_clock::time_point now)
{
    Candidate &candidate = candidates.m_candidates[index];
    ++candidate.m_inFlight;
    if (candidate.m_member.m_place == Place::OtherRegion)
        takeBytes(link, estimatedBytes, now);
}

void recordCallEnd(ServiceCandidates &candidates, std::uint32_t index, const CallReport &report,
                   const RoutingSettings &settings, std::chrono::steady_clock::time_point now)
{
    Candidate &candidate = candidates.m_candidates[index];
    candidate.m_inFlight = std::max(candidate.m_inFlight - 1, 0);
    if (report.m_leaving)
        candidate.m_member.m_excluded = true;
    if (report.m_hasReport) {
        candidate.m_load = report.m_load;
        candidate.m_loadAt = now;
        if (report.m_route >= candidate.m_thresholds.size())
            candidate.m_thresholds.resize(report.m_route + 1);
        overload::confirmThreshold(candidate.m_thresholds[report.m_route], report.m_threshold, now);
    }
    if (!recordAttempt(candidate.m_outlier, settings.m_outlier, report.m_result)
        || isEjected(candidate.m_outlier, now))
        return;
    const std::ptrdiff_t ejected = std::count_if(
            candidates.m_candidates.begin(), candidates.m_candidates.end(),
            [now](const Candidate &other) { return isEjected(other.m_outlier, now); });
    if (2 * (ejected + 1) <= static_cast<std::ptrdiff_t>(candidates.m_candidates.size()))
        eject(candidate.m_outlier, settings.m_outlier, now);
}

} // namespace chervilmount::routing
