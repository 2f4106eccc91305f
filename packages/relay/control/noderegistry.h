#pragma once

#include "relay/link/mesh.h"
#include "relay/store/noderow.h"
#include "relay/telemetry/boundedlog.h"
#include "relay/timers/timerqueue.h"

#include <functional>
#include <random>

namespace chervilmount::relay {

/**
 * Makes the node known to others by its row in the store, and finds the others there. A node whose
 * earlier process has left a row reads the table before it writes: the store performs the writes
 * one after the other, which takes long when many nodes start at once. A node without a row, or
 * with one that names another address, reads the table again after the write: of two nodes that
 * start together at least one sees the other, and dials it.
 */
class NodeRegistry
{
public:
    NodeRegistry(SharedStore &store, Mesh &mesh, TimerQueue &timers, BoundedLog &log,
                 std::mt19937_64 &random);

    /** Reads the table and writes the row; repeated until both have succeeded. */
    void start();

    /** Write the row again because what it holds has changed. @{ */
    void setDeparted(std::vector<traffic::DepartedInstance> departed);
    void setProfile(const traffic::CallProfile &profile);
    /** @} */

    /** @returns whether it is known what this node's row held before the start. */
    bool knowsOwnRow() const { return m_knowsOwnRow; }
    /** @returns whether the row in the store has all departures that were passed. */
    bool keepsDepartures() const { return m_keepsDepartures; }
    /** @returns whether the table has been read since the start. */
    bool hasRead() const { return m_hasRead; }

    /** Gets what this node's row held before the start. */
    std::function<void(const NodeRow &)> m_onOwnRow;

private:
    void write();
    /** Takes what an earlier process has left. @returns whether others find this node by it. */
    bool mergeRow(const StoreRow &row);
    void read();
    void learn(const StoreRow &row);
    void retry(const std::function<void()> &action);

    SharedStore &m_store;
    Mesh &m_mesh;
    TimerQueue &m_timers;
    BoundedLog &m_log;
    std::mt19937_64 &m_random;
    std::vector<traffic::DepartedInstance> m_departed;
    traffic::CallProfile m_profile;
    /** Version of this node's row as far as known; 0 if it does not exist. */
    std::uint64_t m_version = 0;
    bool m_knowsOwnRow = false;
    bool m_hasRead = false;
    bool m_keepsDepartures = true;
    bool m_writing = false;
    bool m_dirty = false;
    int m_failures = 0;
};

} // namespace chervilmount::relay
