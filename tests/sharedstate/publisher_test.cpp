#include "sharedstate/sharedstate.h"
#include "sharedstate/simulation/fakestore.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace chervilmount::sharedstate;
using namespace chervilmount::simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Two publishers and a store; the row write of the first publisher is delayed on the way. */
struct LateWrite
{
    explicit LateWrite(const PublicationFaults &secondFaults)
        : m_secondFaults(secondFaults)
        , m_store(m_world)
    {
        m_world.addNode(0);
        m_world.addNode(0);
    }

    void perform(std::size_t node, const PublisherEffects &effects)
    {
        m_results.insert(m_results.end(), effects.m_results.begin(), effects.m_results.end());
        for (const StoreRequest &request : effects.m_store) {
            if (m_keepWrites && std::holds_alternative<RowTransaction>(request.m_operation))
                m_kept.push_back(request);
            else
                send(node, request);
        }
    }

    void send(std::size_t node, const StoreRequest &request)
    {
        m_store.request(static_cast<int>(node), request, [this, node](const StoreResult &result) {
            perform(node,
                    publisherResult(m_publishers[node], result, m_rights[node],
                                    m_world.localTime(static_cast<int>(node)), m_world.random(),
                                    m_faults));
        });
    }

    void tick(std::size_t node)
    {
        perform(node,
                publisherTick(m_publishers[node], m_rights[node],
                              m_world.localTime(static_cast<int>(node)), m_world.random(),
                              m_faults));
        m_world.run(m_world.now() + seconds(1));
    }

    /** Lets the write of the first holder apply after the takeover of the second one. */
    void run()
    {
        m_rights[0] = {true, 1};
        tick(0);
        PublishRequest request;
        request.m_from = "0";
        request.m_nonce = 7;
        request.m_hash = "hash";
        m_keepWrites = true;
        perform(0,
                publishRequested(m_publishers[0], request, m_rights[0], m_world.localTime(0),
                                 m_world.random(), m_faults));
        m_world.run(m_world.now() + seconds(1));
        m_keepWrites = false;
        m_rights[0] = {};
        m_rights[1] = {true, 2};
        m_faults = m_secondFaults;
        tick(1);
        REQUIRE(m_kept.size() == 1);
        REQUIRE(attestedRow(m_publishers[1], m_rights[1]) != nullptr);
        send(0, m_kept.front());
        m_world.run(m_world.now() + seconds(1));
    }

    bool accepted() const
    {
        return !m_results.empty() && m_results.back().m_outcome == PublishOutcome::Accepted;
    }

    /** Faults that are active after the takeover. */
    PublicationFaults m_secondFaults;
    PublicationFaults m_faults;
    World m_world{1, false};
    FakeStore m_store;
    PublisherState m_publishers[2];
    PublisherRight m_rights[2];
    bool m_keepWrites = false;
    std::vector<StoreRequest> m_kept;
    std::vector<PublishResult> m_results;
};

} // namespace

// Guards against a late write of an earlier holder that is accepted while the new holder attests
// the previous version.
TEST_CASE("A new holder fences late writes of the earlier one")
{
    LateWrite fenced({});
    fenced.run();
    CHECK_FALSE(fenced.accepted());
    CHECK(attestedRow(fenced.m_publishers[1], fenced.m_rights[1])->m_version == 0);

    PublicationFaults faults;
    faults.m_skipFence = true;
    LateWrite open(faults);
    open.run();
    CHECK(open.accepted());
    CHECK(attestedRow(open.m_publishers[1], open.m_rights[1])->m_version == 0);
}

// Guards against a command, repeated after a lost acknowledgement, that reports a conflict because
// of later publications.
TEST_CASE("A repeated command gets the version of its own publication")
{
    LateWrite fleet({});
    fleet.m_rights[0] = {true, 1};
    fleet.tick(0);
    for (Nonce nonce = 1; nonce <= 3; ++nonce) {
        PublishRequest request;
        request.m_from = "0";
        request.m_nonce = nonce;
        request.m_expectedVersion = nonce - 1;
        request.m_hash = std::to_string(nonce);
        for (int repeat = 0; repeat < 2; ++repeat) {
            fleet.perform(0,
                          publishRequested(fleet.m_publishers[0], request, fleet.m_rights[0],
                                           fleet.m_world.localTime(0), fleet.m_world.random()));
            fleet.m_world.run(fleet.m_world.now() + seconds(1));
            CHECK(fleet.accepted());
            CHECK(fleet.m_results.back().m_version == nonce);
        }
    }
}
