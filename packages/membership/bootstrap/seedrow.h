#pragma once

#include "membership/member/nodeid.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::membership {

/** Seed rows per failure domain. */
constexpr std::size_t SeedRowsPerDomain = 8;

/** Prefix of the names of all seed rows. */
constexpr const char *SeedPrefix = "seeds/";

/** Address of a node through which others can join. */
struct SeedRow
{
    std::string m_failureDomain;
    std::size_t m_index = 0;
    NodeId m_node;
    /** Revision of the row in the table service; 0 if it was never read. */
    std::uint64_t m_revision = 0;
};

/** Returns the row's name in the table service: seeds/<failure domain>/<index>. */
std::string seedRowName(const SeedRow &row);

/** Reads all seed rows. */
struct ReadSeeds
{
};

/** Writes one seed row. */
struct WriteSeed
{
    enum class Condition {
        None,
        Absent,
        /** Only if the row still has the revision m_row.m_revision. */
        Revision,
    };

    SeedRow m_row;
    Condition m_condition = Condition::None;
};

/** Result of ReadSeeds; empty optional if the store could not be read. */
struct SeedsRead
{
    std::optional<std::vector<SeedRow>> m_rows;
};

} // namespace chervilmount::membership
