#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

namespace chervilmount::traffic {

/**
 * Position in the store's sequence of versions. The store gives numbers out again after it has come
 * back from an older copy, so two positions can be compared only if they are of the same era.
 */
struct StoreVersion
{
    /** 0 if the store names no era. */
    std::uint64_t m_era = 0;
    /** 0 for what does not exist. */
    std::uint64_t m_number = 0;

    bool operator==(const StoreVersion &other) const = default;
};

/** @returns whether the store's changes after a position continue at a later one: both are of the
 * same era and the numbers do not go back. */
bool continues(const StoreVersion &position, const StoreVersion &later);

/** What the answers of the store have told about its eras. */
struct StoreEra
{
    /** Highest era that an answer has named; unset before the first one. */
    std::optional<std::uint64_t> m_current;
    /** An answer without a readable era has come before the first one with it. */
    bool m_wasUnnamed = false;
    /** The last answer named no era, or an earlier one, although a higher one is known. */
    bool m_isDoubtful = false;
};

enum class EraReading {
    /** The era is the one that is known. */
    Current,
    /** The store has come back from an older copy: what was written before may be lost. */
    Newer,
    /** The answer was made before the store came back, and says nothing about what it holds now. */
    Outdated,
    /** The era cannot be read or has gone back. The answer counts, but its version cannot be
     * compared with others. */
    Doubtful
};

/** @returns the name used in logs. */
const char *nameOf(EraReading reading);

/**
 * Records the era that an answer of the store names. The known era never goes back.
 * @param named the era; nothing if there is none or it cannot be read.
 * @param knownAtCall StoreEra::m_current when the call was made.
 */
EraReading readEra(StoreEra &era, std::optional<std::uint64_t> named,
                   std::optional<std::uint64_t> knownAtCall);

/**
 * Draws the time after which a node writes its row again when the store has come back from a copy.
 * All nodes learn of it at once, and the store performs the writes of one part one after another.
 * @param nodes nodes that write.
 */
std::chrono::milliseconds renewalDelay(std::size_t nodes, std::mt19937_64 &random);

} // namespace chervilmount::traffic
