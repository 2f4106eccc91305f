#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/** Bounds of the rule for versions of the policy, as the platform's pages state them. */
struct VersionBounds
{
    /** Time from the acknowledgement of a version until it has to be in force. */
    std::chrono::milliseconds m_apply{2000};
    /** Added while the store serves some nodes only. */
    std::chrono::milliseconds m_stretch{5000};
    /** Time without disturbance after which a node is bound again. */
    std::chrono::milliseconds m_contact{3000};
    /** Time after the effect of a version was seen, from which no older one may show. */
    std::chrono::milliseconds m_rollback{250};
};

/** A version that operators have written. */
struct WrittenVersion
{
    std::uint64_t m_version = 0;
    std::chrono::steady_clock::time_point m_acknowledgedAt;
};

/** What is known of one node's process. */
struct WatchedNode
{
    /** When its last disturbance ended; in the future while one goes on. */
    std::chrono::steady_clock::time_point m_disturbedUntil;
    /** Newest version whose effect its callers have seen since its start, and when. */
    std::uint64_t m_seenVersion = 0;
    std::chrono::steady_clock::time_point m_seenAt;
};

/** An answer to a caller that depends on the version in force. */
struct VersionAnswer
{
    std::chrono::steady_clock::time_point m_sentAt;
    std::chrono::steady_clock::time_point m_answeredAt;
    /** Newest version written so far that would have led to this answer; 0 if none. */
    std::uint64_t m_newest = 0;
    /** Only this version leads to the answer. */
    bool m_isExact = false;
};

/** Checks answers against the versions that were written. */
struct VersionWatch
{
    VersionBounds m_bounds;
    /** In the order of the versions. */
    std::vector<WrittenVersion> m_written;
    /** When the last time ended in which the store was out of order for all nodes. */
    std::chrono::steady_clock::time_point m_storeDownUntil;
    /** When the last time ended in which it was so for some nodes only. */
    std::chrono::steady_clock::time_point m_storePartialUntil;
    /** Answers that were judged, and those that no bound applied to. @{ */
    std::uint64_t m_judged = 0;
    std::uint64_t m_excused = 0;
    /** @} */
};

/** @returns the newest version, up to the latest one, for which the condition holds; 0 if none. */
std::uint64_t newestVersion(const VersionWatch &watch,
                            const std::function<bool(std::uint64_t)> &condition);

/** Judges an answer of a node. @returns what is wrong with it, or nothing. */
std::optional<std::string> judge(VersionWatch &watch, WatchedNode &node,
                                 const VersionAnswer &answer);
