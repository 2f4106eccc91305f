#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilmount::traffic {

/** Settings of the correlation of nested calls with runs. */
struct LineageSettings
{
    /** Minimum distance between the deadlines of two runs at one backend server. */
    std::chrono::milliseconds m_spacing{3};
    /** Maximum difference between the deadlines of a nested call and of its run. */
    std::chrono::milliseconds m_tolerance{3};
    /** Maximum amount by which a deadline is moved forward to keep the spacing. */
    std::chrono::milliseconds m_maximumShift{40};
};

/**
 * Correlates nested calls with the runs at one backend server by their deadlines. Backend servers
 * do not propagate request identifiers to nested calls, but nested calls expire together with the
 * request: a deadline that is unique among the runs identifies the run.
 */
struct Lineage
{
    LineageSettings m_settings;
    std::map<std::chrono::steady_clock::time_point, std::uint64_t> m_runs;
};

/**
 * Adds a run.
 * @returns the deadline to send to the backend server: the given one, or slightly earlier.
 */
std::chrono::steady_clock::time_point enterRun(Lineage &lineage, std::uint64_t run,
                                               std::chrono::steady_clock::time_point deadline);

/** Removes a run by the deadline that enterRun() returned. */
void leaveRun(Lineage &lineage, std::uint64_t run, std::chrono::steady_clock::time_point deadline);

/** @returns the run that made a nested call with this deadline, if known. */
std::optional<std::uint64_t> findRun(const Lineage &lineage,
                                     std::chrono::steady_clock::time_point deadline);

} // namespace chervilmount::traffic
