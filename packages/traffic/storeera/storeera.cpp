#include "traffic/storeera/storeera.h"

namespace chervilmount::traffic {

namespace {

/** A row that was lost takes two writes, so this leads to 200 a second, which one part of the store
 * performs. */
constexpr std::chrono::milliseconds RenewalTimePerNode{10};

} // namespace

bool continues(const StoreVersion &position, const StoreVersion &later)
{
    return position.m_era == later.m_era && position.m_number <= later.m_number;
}

const char *nameOf(EraReading reading)
{
    switch (reading) {
    case EraReading::Current:
        return "current";
    case EraReading::Newer:
        return "newer";
    case EraReading::Outdated:
        return "outdated";
    case EraReading::Doubtful:
        return "doubtful";
    }
    return "";
}

EraReading readEra(StoreEra &era, std::optional<std::uint64_t> named,
                   std::optional<std::uint64_t> knownAtCall)
{
    if (!era.m_current) {
        era.m_current = named;
        if (!named) {
            era.m_wasUnnamed = true;
            return EraReading::Current;
        }
        // Nothing tells whether the answers without an era were of the same one.
        return era.m_wasUnnamed ? EraReading::Newer : EraReading::Current;
    }
    if (named && *named < *era.m_current && (!knownAtCall || *knownAtCall < *era.m_current))
        return EraReading::Outdated;
    era.m_isDoubtful = !named || *named < *era.m_current;
    if (era.m_isDoubtful)
        return EraReading::Doubtful;
    const bool isNewer = *named > *era.m_current;
    era.m_current = named;
    return isNewer ? EraReading::Newer : EraReading::Current;
}

std::chrono::milliseconds renewalDelay(std::size_t nodes, std::mt19937_64 &random)
{
    const std::chrono::milliseconds longest = RenewalTimePerNode * nodes;
    std::uniform_int_distribution<std::chrono::milliseconds::rep> delay(0, longest.count());
    return std::chrono::milliseconds(delay(random));
}

} // namespace chervilmount::traffic
