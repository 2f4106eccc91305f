#pragma once

#include "model/configuration/priority.h"

#include <array>
#include <chrono>
#include <string>
#include <unordered_map>

namespace chervilmount::traffic {

/** Work that requests of each importance ask of one service, in slots held on average. */
using WorkByLevel = std::array<double, model::PriorityLevels>;

/** Work that callers ask for, by service; nested calls are included in their callers' requests. */
using Demand = std::unordered_map<std::string, WorkByLevel>;

/** Adds the second demand to the first. */
void addDemand(Demand &sum, const Demand &other);

/** Demand at one entry node, averaged exponentially over AveragingTime. */
struct DemandMeter
{
    static constexpr std::chrono::milliseconds AveragingTime{400};

    Demand m_work;
    std::chrono::steady_clock::time_point m_updatedAt;
};

/** Counts the work that a request asks of a service, in seconds for which it holds a slot. */
void recordWork(DemandMeter &meter, const std::string &service, int level, double slotSeconds,
                std::chrono::steady_clock::time_point now);

/** @returns the demand at present. */
const Demand &currentDemand(DemandMeter &meter, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::traffic
