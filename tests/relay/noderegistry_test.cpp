#include "relay/control/noderegistry.h"
#include "relay/rawcaller.h"
#include "relay/telemetry/counters.h"
#include "support/freeaddress.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

using namespace chervilmount;
using namespace chervilmount::relay;
using namespace std::chrono_literals;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

/** A store with eras whose calls end in the event loop, or when the test says so. */
class EraStore : public SharedStore
{
public:
    explicit EraStore(boost::asio::io_context &context)
        : m_context(context)
    {
    }

    void write(const std::string &table, const StoreRow &row, WriteCallback callback) override
    {
        m_writtenAt.push_back(std::chrono::steady_clock::now());
        boost::asio::post(m_context, [this, table, row, callback = std::move(callback)] {
            if (m_isLost) {
                callback({});
                return;
            }
            StoreRow &stored = m_tables[table][row.m_key];
            if (stored.m_version.m_number != row.m_version.m_number) {
                callback({WriteStatus::Conflict,
                          {row.m_key, stored.m_value, {m_storeEra, stored.m_version.m_number}}});
                return;
            }
            stored = {row.m_key, row.m_value, {m_storeEra, ++m_version}};
            callback({WriteStatus::Written, stored});
        });
    }

    void read(const std::string &table, RowsCallback callback) override
    {
        ++m_reads;
        boost::asio::post(m_context, [this, table, callback = std::move(callback)] {
            std::vector<StoreRow> rows;
            for (const auto &[key, row] : m_tables[table]) {
                if (row.m_version.m_number > 0)
                    rows.push_back({key, row.m_value, {m_storeEra, row.m_version.m_number}});
            }
            callback(!m_isLost, rows);
        });
    }

    void followPolicy(std::function<void(const PolicyDocument &)> /*callback*/) override { }
    void setFollowing(bool /*follows*/) override { }
    void restartFollowing() override { }

    using Tables = std::map<std::string, std::map<std::string, StoreRow>>;

    /** Comes back with rows of before. */
    void restore(const Tables &tables, std::uint64_t version)
    {
        m_tables = tables;
        m_version = version;
        ++m_storeEra;
    }

    Tables m_tables;
    std::uint64_t m_version = 0;
    std::uint64_t m_storeEra = 1;
    bool m_isLost = false;
    int m_reads = 0;
    std::vector<TimePoint> m_writtenAt;

private:
    boost::asio::io_context &m_context;
};

/** One node's row in a store. */
struct RegistryCase
{
    boost::asio::io_context m_context;
    TimerQueue m_timers{m_context};
    Counters m_counters;
    BoundedLog m_log{m_counters.m_logLinesSuppressed};
    std::mt19937_64 m_random{1};
    EraStore m_store{m_context};
    std::unique_ptr<Mesh> m_mesh;
    std::unique_ptr<NodeRegistry> m_registry;
    int m_ownRows = 0;
    int m_outdatedRows = 0;

    explicit RegistryCase(std::chrono::milliseconds startedAt = 5000ms)
    {
        NodeRecord self;
        self.m_node = "n1";
        self.m_address = freeAddress(m_context);
        self.m_failureDomain = "zone-a";
        self.m_region = "region-a";
        self.m_startedAt = startedAt;
        MeshHandlers handlers;
        handlers.m_onNodeSeen = [](const NodeRecord &) {};
        m_mesh = std::make_unique<Mesh>(m_context, m_timers, self, "", handlers);
        m_registry = std::make_unique<NodeRegistry>(m_store, *m_mesh, m_timers, m_log, m_random);
        m_registry->m_onOwnRow = [this](const NodeRow &) { ++m_ownRows; };
        m_registry->m_onOutdatedRow = [this](const NodeRow &) { ++m_outdatedRows; };
    }

    void start()
    {
        m_registry->start();
        REQUIRE(runUntil(m_context, [this] {
            return m_registry->hasReadTable() && !m_store.m_writtenAt.empty();
        }));
        runFor(50ms);
    }

    void runFor(std::chrono::milliseconds duration)
    {
        const TimePoint end = std::chrono::steady_clock::now() + duration;
        runUntil(m_context, [end] { return std::chrono::steady_clock::now() >= end; });
    }

    std::optional<NodeRow> storedRow()
    {
        const StoreRow &row = m_store.m_tables[NodeTable]["n1"];
        return row.m_version.m_number == 0 ? std::nullopt : parseNodeRow(row);
    }

    /** Stores the row of an earlier process of the node. */
    void storeEarlierRow(bool isEstablished)
    {
        NodeRow row;
        row.m_record = m_mesh->self();
        row.m_record.m_startedAt = 1000ms;
        row.m_isEstablished = isEstablished;
        StoreRow stored = toStoreRow(row);
        stored.m_version = {1, ++m_store.m_version};
        m_store.m_tables[NodeTable]["n1"] = stored;
    }
};

const traffic::DepartedInstance Departed{"i-1", 900ms};

} // namespace

// Guards against a departure that was acknowledged and is in no store, since the store has come
// back from a copy of before: the node's next process would use the server again.
TEST_CASE("A row that the store has lost is written again with its departures")
{
    RegistryCase test;
    test.start();
    const EraStore::Tables copy =
            GENERATE(true, false) ? test.m_store.m_tables : EraStore::Tables{};
    const std::uint64_t version = test.m_store.m_version;
    test.m_registry->setDeparted({Departed});
    test.runFor(50ms);
    REQUIRE(test.m_registry->hasStoredDepartures());
    test.m_store.restore(copy, version);
    test.m_registry->handleEra(2);
    CHECK_FALSE(test.m_registry->hasStoredDepartures());
    test.runFor(100ms);
    CHECK(test.m_registry->hasStoredDepartures());
    REQUIRE(test.storedRow());
    CHECK(test.storedRow()->m_departed == std::vector<traffic::DepartedInstance>{Departed});
}

// Guards against two nodes that never find each other: the row of one was lost, the other has read
// the table meanwhile and written its own.
TEST_CASE("A node whose row the store has lost reads the table again")
{
    RegistryCase test;
    test.start();
    const int readsBefore = test.m_store.m_reads;
    NodeRow other;
    other.m_record = test.m_mesh->self();
    other.m_record.m_node = "n2";
    other.m_record.m_address = "127.0.0.1:1";
    StoreRow stored = toStoreRow(other);
    stored.m_version = {2, 1};
    test.m_store.restore({{NodeTable, {{"n2", stored}}}}, 1);
    test.m_registry->handleEra(2);
    test.runFor(100ms);
    CHECK(test.m_store.m_reads == readsBefore + 1);
    CHECK(test.m_mesh->peerNamed("n2") != nullptr);
}

// Guards against a read of the whole table by every node after each drill.
TEST_CASE("A node whose row the store still has does not read the table again")
{
    RegistryCase test;
    test.start();
    const int readsBefore = test.m_store.m_reads;
    const std::size_t writesBefore = test.m_store.m_writtenAt.size();
    test.m_store.restore(test.m_store.m_tables, test.m_store.m_version);
    test.m_registry->handleEra(2);
    test.runFor(100ms);
    CHECK(test.m_store.m_reads == readsBefore);
    CHECK(test.m_store.m_writtenAt.size() == writesBefore + 1);
}

// Guards against an earlier process whose share of the rates is taken over although its planned
// stop was known: the store has lost this process' row and shows one from before that stop.
TEST_CASE("A row from a copy says nothing new of an earlier process")
{
    RegistryCase test;
    test.storeEarlierRow(true);
    const EraStore::Tables copy = test.m_store.m_tables;
    const std::uint64_t version = test.m_store.m_version;
    test.start();
    REQUIRE(test.m_ownRows == 1);
    test.m_store.restore(copy, version);
    test.m_registry->handleEra(2);
    test.runFor(100ms);
    CHECK(test.m_ownRows == 1);
    CHECK(test.m_outdatedRows == 1);
    CHECK(test.storedRow()->m_record.m_startedAt == 5000ms);
}

// Guards against nodes that write their rows again and again because one node names an era that the
// store does not.
TEST_CASE("A claim of an era that the store does not name leads to one write")
{
    RegistryCase test;
    test.start();
    const std::size_t writesBefore = test.m_store.m_writtenAt.size();
    for (int status = 0; status < 20; ++status) {
        test.m_registry->handleClaimedEra(1000);
        test.runFor(20ms);
    }
    CHECK(test.m_store.m_writtenAt.size() == writesBefore + 1);
    // The era that the store does name counts all the same.
    test.m_store.restore({}, 0);
    test.m_registry->handleEra(2);
    test.runFor(100ms);
    CHECK(test.storedRow());
}

// Guards against a row that stays lost because the node learns of the new era only from others, and
// the store fails at that moment.
TEST_CASE("A node that hears of a new era writes its row once the store answers")
{
    RegistryCase test;
    test.start();
    test.m_store.restore({}, 0);
    test.m_store.m_isLost = true;
    test.m_registry->handleClaimedEra(2);
    test.runFor(300ms);
    CHECK_FALSE(test.storedRow());
    test.m_store.m_isLost = false;
    CHECK(runUntil(test.m_context, [&test] { return test.storedRow().has_value(); }));
}
