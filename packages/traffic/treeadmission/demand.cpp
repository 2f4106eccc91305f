#include "traffic/treeadmission/demand.h"

#include <algorithm>
#include <cmath>

namespace chervilmount::traffic {

namespace {

constexpr double AveragingSeconds =
        std::chrono::duration<double>(DemandMeter::AveragingTime).count();

void age(DemandMeter &meter, std::chrono::steady_clock::time_point now)
{
    // Avoids the loop for the other services of the same request, which have the same time stamp.
    if (now == meter.m_updatedAt)
        return;
    const double elapsed =
            std::max(0.0, std::chrono::duration<double>(now - meter.m_updatedAt).count());
    meter.m_updatedAt = now;
    const double factor = std::exp(-elapsed / AveragingSeconds);
    for (auto &[service, levels] : meter.m_work) {
        for (double &work : levels)
            work *= factor;
    }
}

} // namespace

void addDemand(Demand &sum, const Demand &other)
{
    for (const auto &[service, levels] : other) {
        WorkByLevel &target = sum.try_emplace(service).first->second;
        for (std::size_t level = 0; level < levels.size(); ++level)
            target[level] += levels[level];
    }
}

void recordWork(DemandMeter &meter, const std::string &service, int level, double slotSeconds,
                std::chrono::steady_clock::time_point now)
{
    age(meter, now);
    const int index = std::clamp(level, 0, model::PriorityLevels - 1);
    WorkByLevel &levels = meter.m_work.try_emplace(service).first->second;
    levels[static_cast<std::size_t>(index)] += slotSeconds / AveragingSeconds;
}

const Demand &currentDemand(DemandMeter &meter, std::chrono::steady_clock::time_point now)
{
    age(meter, now);
    return meter.m_work;
}

} // namespace chervilmount::traffic
