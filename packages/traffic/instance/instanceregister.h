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

/** @returns whether a start that another process states lies between 1970 and the year 9999. A
 * later one would make all other starts earlier ones. */
bool isPlausibleStart(std::chrono::milliseconds startedAt);

/** Latest start time that has departed, by instance id. */
using Departures = std::map<std::string, std::chrono::milliseconds>;

/** Adds departures. Only the latest few are kept, since earlier backend servers send nothing any
 * more. */
void mergeDepartures(Departures &departures, const std::vector<DepartedInstance> &added);

/** @returns the departures as a list, ordered by instance id. */
std::vector<DepartedInstance> toList(const Departures &departures);

/**
 * The backend server that this node serves. At most one is used at a time; one that has announced
 * its departure is not used again until it has been restarted.
 */
struct InstanceRegister
{
    std::optional<InstanceAnnouncement> m_current;
    /** The current backend server accepts new work. */
    bool m_usable = false;
    /** A backend server has been confirmed to serve since this process started. Its successors
     * start later, so that no earlier process can have been told of their departure. */
    bool m_isConfirmed = false;
    /** Announcements in a row of the current backend server while it is not confirmed. */
    int m_unconfirmedAnnouncements = 0;
    Departures m_departed;
};

/**
 * Announcements in a row after which a backend server is used without a confirmation, in case that
 * its status check fails although it serves. A backend server that leaves sends no more of them;
 * only a few can still be on their way.
 */
constexpr int AnnouncementsUntilConfirmed = 4;

enum class AnnouncementEffect {
    /** Out of order, duplicate or from an earlier start. */
    Ignored,
    /** No change that is relevant to other nodes. */
    Renewed,
    /** A backend server is ready, but an earlier process of this node may have been told of its
     * departure: it is used once confirm() has been called. */
    Unconfirmed,
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

/**
 * Processes the successful status check of a backend server, begun after this process had started.
 * @param found the backend server that responded; its announcements state more than the check.
 */
AnnouncementEffect confirm(InstanceRegister &instances, const InstanceAnnouncement &found);

/** @returns whether the current backend server has announced its departure. */
bool isLeaving(const InstanceRegister &instances);

/** Restores departures that were recorded before a restart of this node. */
void restoreDepartures(InstanceRegister &instances, const std::vector<DepartedInstance> &departed);

} // namespace chervilmount::traffic
