#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::traffic {

enum class InstanceState { Ready, Draining };

/** Announcement sent by a backend server. */
struct InstanceAnnouncement
{
    std::string m_id;
    std::string m_service;
    /** "ip:port". */
    std::string m_address;
    int m_slots = 0;
    InstanceState m_state = InstanceState::Ready;
    /** Increases with each announcement since the same start. */
    std::uint64_t m_sequence = 0;
    /** Wall-clock time at which the backend server started; 0 if unknown. */
    std::chrono::milliseconds m_startedAt{0};
};

/** A backend server that has announced its departure. */
struct DepartedInstance
{
    std::string m_id;
    /** Wall-clock start time of the departed process. */
    std::chrono::milliseconds m_startedAt{0};

    bool operator==(const DepartedInstance &other) const = default;
};

/**
 * The backend server that this node serves. At most one is used at a time; one that has announced
 * its departure is not used again until it has been restarted.
 */
struct InstanceRegister
{
    std::optional<InstanceAnnouncement> m_current;
    /** The current backend server accepts new work. */
    bool m_usable = false;
    /** Latest start time that has departed, by instance id. */
    std::map<std::string, std::chrono::milliseconds> m_departed;
};

enum class AnnouncementEffect {
    /** Out of order, duplicate or from an earlier start. */
    Ignored,
    /** No change that is relevant to other nodes. */
    Renewed,
    /** A backend server has become usable, or its description has changed. */
    Changed,
    /** The backend server is leaving and gets no new work. */
    Leaving
};

/** Processes an announcement. */
AnnouncementEffect announce(InstanceRegister &instances, const InstanceAnnouncement &announcement);

/**
 * Processes a departure message of a backend server.
 * @param startedAt its start time, or 0 if the message does not contain it.
 * @param now wall-clock time.
 */
AnnouncementEffect depart(InstanceRegister &instances, const std::string &id,
                          std::chrono::milliseconds startedAt, std::chrono::milliseconds now);

/** Restores departures that were recorded before a restart of this node. */
void restoreDepartures(InstanceRegister &instances, const std::vector<DepartedInstance> &departed);

/** @returns the departures to persist, including those of the current backend server. */
std::vector<DepartedInstance> departures(const InstanceRegister &instances);

} // namespace chervilmount::traffic
