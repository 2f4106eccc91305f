#pragma once

#include "sharedstate/sharedstate.h"
#include "sharedstate/simulation/world.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace chervilmount::simulation {

/** Current behaviour of the store. */
struct StoreQuality
{
    bool m_up = true;
    /** Requests are lost before they take effect. */
    double m_lostRequest = 0.0;
    /** Operations take effect but the response is lost. */
    double m_lostResponse = 0.0;
    /** Requests take effect late, possibly after the client's timeout. */
    double m_lateRequest = 0.0;
    Nanoseconds m_latest = std::chrono::seconds(20);
    /** Upper limit of the normal transit time in each direction. */
    Nanoseconds m_usualDelay = std::chrono::milliseconds(5);
};

/** Simulates the platform's table service and object store with delays, losses and outages. */
class FakeStore
{
public:
    explicit FakeStore(World &world);

    StoreQuality &quality() { return m_quality; }
    /** Disconnects or reconnects a failure domain and the store. */
    void setCut(int domain, bool cut) { m_cuts[static_cast<std::size_t>(domain)] = cut; }

    /** Performs a request of a node; the action runs in the node's process with the result. */
    void request(int node, const sharedstate::StoreRequest &request,
                 const std::function<void(const sharedstate::StoreResult &)> &action);

    /** Reads a row as an operator would, without delay. */
    const sharedstate::StoredRow *row(const std::string &name) const;

    std::uint64_t writeCount() const { return m_writeCount; }
    std::uint64_t readCount() const { return m_readCount; }

private:
    sharedstate::StoreResult apply(const sharedstate::StoreRequest &request);
    sharedstate::WriteResult applyWrite(const sharedstate::RowWrite &write);

    World &m_world;
    StoreQuality m_quality;
    std::vector<bool> m_cuts;
    std::uint64_t m_revision = 0;
    std::uint64_t m_writeCount = 0;
    std::uint64_t m_readCount = 0;
    std::map<std::string, sharedstate::StoredRow> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace chervilmount::simulation
