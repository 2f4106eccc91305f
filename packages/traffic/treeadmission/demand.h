#pragma once

#include "model/configuration/priority.h"

#include <array>
#include <chrono>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Demand on one service by priority level, in average slots held. */
using WorkByLevel = std::array<double, model::PriorityLevels>;

/** Demand of callers' requests by service, including their nested calls. */
using Demand = std::unordered_map<std::string, WorkByLevel>;

/** Adds the second demand to the first. */
void addDemand(Demand &sum, const Demand &other);

/** Demand at one entry node, as an exponential moving average over AveragingTime. */
struct DemandMeter
{
    static constexpr std::chrono::milliseconds AveragingTime{400};

    Demand m_work;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/** Adds the work that a request needs from a service, in seconds for which it holds a slot. */
void recordWork(DemandMeter &meter, const std::string &service, int level, double slotSeconds,
                std::chrono::steady_clock::time_point now);

/** @returns the demand at the given time. */
const Demand &currentDemand(DemandMeter &meter, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
