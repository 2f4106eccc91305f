#include "platform/soak/versionwatch.h"

#include <algorithm>

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/** @returns the newest version that was acknowledged by the time; 0 if none. */
std::uint64_t acknowledgedBy(const VersionWatch &watch, TimePoint time)
{
    std::uint64_t version = 0;
    for (const WrittenVersion &written : watch.m_written) {
        if (written.m_acknowledgedAt <= time)
            version = written.m_version;
    }
    return version;
}

std::string milliseconds(std::chrono::nanoseconds duration)
{
    return std::to_string(std::chrono::floor<Milliseconds>(duration).count()) + " ms";
}

} // namespace

std::uint64_t newestVersion(const VersionWatch &watch,
                            const std::function<bool(std::uint64_t)> &condition)
{
    const auto found = std::find_if(
            watch.m_written.rbegin(), watch.m_written.rend(),
            [&](const WrittenVersion &written) { return condition(written.m_version); });
    return found == watch.m_written.rend() ? 0 : found->m_version;
}

std::optional<std::string> judge(VersionWatch &watch, WatchedNode &node,
                                 const VersionAnswer &answer)
{
    const VersionBounds &bounds = watch.m_bounds;
    const bool inTouch = answer.m_sentAt >= node.m_disturbedUntil + bounds.m_contact
            && answer.m_sentAt >= watch.m_storeDownUntil + bounds.m_contact;
    if (!inTouch) {
        ++watch.m_excused;
        return std::nullopt;
    }
    ++watch.m_judged;
    const bool isPartial = answer.m_sentAt < watch.m_storePartialUntil + bounds.m_contact;
    const Milliseconds bound = bounds.m_apply + (isPartial ? bounds.m_stretch : Milliseconds{0});
    const std::uint64_t required = acknowledgedBy(watch, answer.m_sentAt - bound);
    if (answer.m_newest < required) {
        const auto written = std::find_if(
                watch.m_written.begin(), watch.m_written.end(),
                [required](const WrittenVersion &entry) { return entry.m_version == required; });
        return "handled as only version " + std::to_string(answer.m_newest)
                + " or older allows; version " + std::to_string(required) + " was acknowledged "
                + milliseconds(answer.m_sentAt - written->m_acknowledgedAt) + " before";
    }
    if (answer.m_newest < node.m_seenVersion && answer.m_sentAt > node.m_seenAt + bounds.m_rollback)
        return "handled as only version " + std::to_string(answer.m_newest)
                + " or older allows; the node had shown version "
                + std::to_string(node.m_seenVersion) + " "
                + milliseconds(answer.m_sentAt - node.m_seenAt) + " before";
    if (answer.m_isExact && answer.m_newest > node.m_seenVersion) {
        node.m_seenVersion = answer.m_newest;
        node.m_seenAt = answer.m_answeredAt;
    }
    return std::nullopt;
}
