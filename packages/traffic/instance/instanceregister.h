#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::traffic {

enum class InstanceState { Ready, Draining };

/** What a backend server says of itself. */
struct InstanceAnnouncement
{
    std::string m_id;
    std::string m_service;
    /** "ip:port". */
    std::string m_address;
    int m_slots = 0;
    InstanceState m_state = InstanceState::Ready;
    /** Grows with each announcement of one start. */
    std::uint64_t m_sequence = 0;
    /** Wall-clock time of its start; 0 if it is not known. */
    std::chrono::milliseconds m_startedAt{0};
};

/** A backend server that has said that it leaves. */
struct DepartedInstance
{
    std::string m_id;
    /** Wall-clock time of the start that left. */
    std::chrono::milliseconds m_startedAt{0};

    bool operator==(const DepartedInstance &other) const = default;
};

/**
 * The backend server beside this node. At most one is used at a time; one that has said that it
 * leaves is never used again unless it starts anew.
 */
struct InstanceRegister
{
    std::optional<InstanceAnnouncement> m_current;
    /** The current backend server may get new work. */
    bool m_usable = false;
    /** Starts that have left, by id; the newest start counts. */
    std::map<std::string, std::chrono::milliseconds> m_departed;
};

enum class AnnouncementEffect {
    /** Late, repeated or from an earlier start. */
    Ignored,
    /** Nothing that matters to other nodes has changed. */
    Renewed,
    /** A backend server can be used now, or its description has changed. */
    Changed,
    /** The backend server leaves: no new work from now on. */
    Leaving
};

/** Takes an announcement. */
AnnouncementEffect announce(InstanceRegister &instances, const InstanceAnnouncement &announcement);

/**
 * Takes the message that a backend server leaves.
 * @param startedAt its start if the message says it, otherwise 0 for the start that is known.
 * @param now wall-clock time.
 */
AnnouncementEffect depart(InstanceRegister &instances, const std::string &id,
                          std::chrono::milliseconds startedAt, std::chrono::milliseconds now);

/** Takes over departures that were recorded before a restart of this node. */
void restoreDepartures(InstanceRegister &instances, const std::vector<DepartedInstance> &departed);

/** @returns the departures to record, the ones of the current backend server included. */
std::vector<DepartedInstance> departures(const InstanceRegister &instances);

} // namespace chervilmount::traffic
