#pragma once

#include "relay/link/mesh.h"
#include "relay/store/noderow.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/timers/timerqueue.h"

#include <functional>
#include <optional>
#include <random>

namespace chervilmount::relay {

/**
 * Publishes the node's row in the store and discovers the other nodes there. The table is read
 * before the row is written, since the store performs writes one at a time, which takes long when
 * many nodes start at once. A node without a row, or with one that names another address, reads the
 * table again after the write: of two nodes that start together at least one then finds the other
 * and connects to it.
 *
 * A store that has come back from an older copy may have lost the row. All nodes then write theirs
 * again, spread over a time that the store's rate of writes permits, and one whose row was lost
 * reads the table again, as at a start.
 */
class NodeRegistry
{
public:
    NodeRegistry(SharedStore &store, Mesh &mesh, TimerQueue &timers, BoundedLog &log,
                 std::mt19937_64 &random);

    /** Reads the table and writes the row, with retries until both have succeeded. */
    void start();

    /** Writes the row again unless it has been written in this era of the store or a later one. Its
     * departures are not known to be stored until then. */
    void handleEra(std::uint64_t era) { renewRow(era); }

    /** The same for an era that another node has named. The answer to the write tells the present
     * one, so each claim leads to one write at most. */
    void handleClaimedEra(std::uint64_t era);

    /** Change a part of the row and write it. @{ */
    void setDeparted(std::vector<traffic::DepartedInstance> departed);
    void setProfile(const traffic::CallProfile &profile);
    void setEstablished(bool isEstablished);
    /** @param stoppedAt wall-clock time of the planned stop. */
    void setStopped(std::chrono::milliseconds stoppedAt);
    /** @} */

    /** @returns whether the row that an earlier process may have stored has been read. */
    bool knowsOwnRow() const { return m_knowsOwnRow; }
    /** @returns whether the row in the store contains all departures that were passed. */
    bool hasStoredDepartures() const { return m_hasStoredDepartures; }
    /** @returns whether the row in the store says that this node stops. */
    bool hasStoredStop() const { return m_hasStoredStop; }
    /** @returns whether the table has been read since the start. */
    bool hasReadTable() const { return m_hasReadTable; }

    /** Called with the row that an earlier process of this node has stored. */
    std::function<void(const NodeRow &)> m_onOwnRow;
    /** Called with a row that was older than what is known here, from a copy of the store. */
    std::function<void(const NodeRow &)> m_onOutdatedRow;
    /** Called once the table of nodes has been read. */
    std::function<void()> m_onTableRead;
    /** Called when the row has been stored with all departures that were passed. */
    std::function<void()> m_onDeparturesStored;

private:
    /** Writes the row, or leaves it to the write that follows the first read. */
    void writeChange();
    void write();
    /** Merges the stored row, which an earlier process or an earlier write may have left.
     * @returns whether other nodes can find this node by the stored row. */
    bool mergeRow(const StoreRow &row);
    void mergeContent(const NodeRow &node, bool isOutdated);
    /** @returns whether a write is scheduled for this era. */
    bool renewRow(std::uint64_t era);
    void read();
    void addPeer(const StoreRow &row);
    /** @returns the row's content; reports a row that cannot be read. */
    std::optional<NodeRow> readRow(const StoreRow &row);
    /** Repeats a failed call to the store. @param calledAt when the failed one was made. */
    void retry(std::chrono::steady_clock::time_point calledAt, const std::function<void()> &action);

    SharedStore &m_store;
    Mesh &m_mesh;
    TimerQueue &m_timers;
    BoundedLog &m_log;
    std::mt19937_64 &m_random;
    std::vector<traffic::DepartedInstance> m_departed;
    traffic::CallProfile m_profile;
    bool m_isEstablished = false;
    std::chrono::milliseconds m_stoppedAt{0};
    bool m_hasStoredStop = false;
    /** Last known version of this node's row. */
    traffic::StoreVersion m_version;
    /** Highest era of another node for which the row has been written again. */
    std::uint64_t m_claimedEra = 0;
    /** A write for a newer era is scheduled or has not succeeded yet. */
    bool m_isRenewing = false;
    bool m_knowsOwnRow = false;
    bool m_hasReadTable = false;
    bool m_hasStoredDepartures = true;
    /** Other nodes could not find this node by the row that the store held. */
    bool m_rereadsTable = false;
    bool m_writing = false;
    bool m_dirty = false;
    int m_failures = 0;
};

} // namespace chervilmount::relay
