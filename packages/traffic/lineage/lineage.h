#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace chervilmount::traffic {

/** Settings of the search for the request that a nested call belongs to. */
struct LineageSettings
{
    /** Distance that is kept between the deadlines of two runs at one backend server. */
    std::chrono::milliseconds m_spacing{3};
    /** How far the deadline of a nested call may lie from that of its run. */
    std::chrono::milliseconds m_tolerance{3};
    /** Largest amount by which a deadline is brought forward to keep the spacing. */
    std::chrono::milliseconds m_largestShift{40};
};

/**
 * Deadlines of the runs at one backend server. Backend servers repeat nothing of a request in the
 * calls that they make for it, but these calls expire together with it: a deadline that is unique
 * among the runs identifies the run.
 */
struct Lineage
{
    LineageSettings m_settings;
    std::map<std::chrono::steady_clock::time_point, std::uint64_t> m_runs;
};

/**
 * Enters a run.
 * @returns the deadline to hand to the backend server: the given one, or slightly earlier.
 */
std::chrono::steady_clock::time_point enterRun(Lineage &lineage, std::uint64_t run,
                                               std::chrono::steady_clock::time_point deadline);

/** Removes a run by the deadline that enterRun() returned. */
void leaveRun(Lineage &lineage, std::uint64_t run, std::chrono::steady_clock::time_point deadline);

/** @returns the run that a nested call with this deadline belongs to, if it is known. */
std::optional<std::uint64_t> findRun(const Lineage &lineage,
                                     std::chrono::steady_clock::time_point deadline);

} // namespace chervilmount::traffic
