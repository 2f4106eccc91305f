#include "platform/standin/fleet.h"
#include "relay/rawcaller.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr const char *Routes =
        R"(["slip-lookup","slips.example","/slips/","idempotent",10.0,2.0,2,null,2,false,"slipdesk"],
           ["print-order","slips.example","/orders/","non_idempotent",10.0,2.0,0,null,2,false,"slipdesk"],
           ["frame-upload","slips.example","/frames/","upload",10.0,2.0,1,null,2,false,"slipdesk"],
           ["order-status","status.example","/status/","idempotent",3.0,1.0,2,null,2,true,"printhall"])";

constexpr std::chrono::milliseconds GracePeriod{6000};
constexpr std::chrono::milliseconds SendInterval{100};
/** The second half of an upload follows after this time. */
constexpr std::chrono::milliseconds UploadPause{300};

std::string headOf(const std::string &method, const std::string &host, const std::string &target,
                   const std::string &attempt)
{
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Chervilmount-Attempt-Id: "
            + attempt + "\r\nX-Chervilmount-Deadline-Ms: 8000\r\n";
}

std::string lookupOf(const std::string &attempt)
{
    return headOf("GET", "slips.example", "/slips/1", attempt)
            + "X-Chervilmount-Key: key-large\r\n\r\n";
}

/** @returns the status of the response that names the attempt; 0 if there is none. */
int statusOf(const std::string &received, const std::string &attempt)
{
    const std::size_t found = received.find(": " + attempt + "\r\n");
    if (found == std::string::npos)
        return 0;
    const std::string_view start = "HTTP/1.1 ";
    return std::stoi(received.substr(received.rfind(start, found) + start.size(), 3));
}

/** A kept connection of a caller, and what it sends at one moment of the stop. */
struct KeptCaller
{
    std::unique_ptr<RawCaller> m_connection;
    std::vector<std::string> m_attempts;
    /** Bytes that follow the first ones after UploadPause. */
    std::string m_rest;
    TimePoint m_restAt;
};

/** Sends requests of one kind: lookups, two lookups at once, orders, uploads in two parts, nested
 * calls. */
void sendKind(KeptCaller &caller, int kind, const std::string &name)
{
    const std::string key = "X-Chervilmount-Key: key-large\r\n";
    caller.m_attempts = {name};
    switch (kind) {
    case 0:
        caller.m_connection->send(lookupOf(name));
        return;
    case 1:
        caller.m_attempts.push_back(name + "b");
        caller.m_connection->send(lookupOf(name) + lookupOf(name + "b"));
        return;
    case 2:
        caller.m_connection->send(headOf("POST", "slips.example", "/orders/1", name) + key
                                  + "Content-Length: 2\r\n\r\nok");
        return;
    case 3:
        caller.m_connection->send(headOf("POST", "slips.example", "/frames/1", name) + key
                                  + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        caller.m_rest = "4\r\nrest\r\n0\r\n\r\n";
        caller.m_restAt = std::chrono::steady_clock::now() + UploadPause;
        return;
    default:
        caller.m_connection->send(headOf("GET", "status.example", "/status/1", name) + "\r\n");
    }
}

} // namespace

// Guards against a planned stop that takes requests late in its grace period and cuts them at the
// end without an answer, among them requests that may not be repeated.
TEST_CASE("Requests of all kinds that come during a stop are answered or refused as not run")
{
    Fleet fleet;
    fleet.addNode("n1", "slipdesk");
    fleet.addNode("n2", "slipdesk");
    fleet.addNode("n3", "printhall");
    fleet.configure(1, Routes);
    REQUIRE(fleet.settle());
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        fleet.announce(*node);
    REQUIRE(fleet.settle());
    FleetNode &stopping = *fleet.m_nodes[0];
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        node->m_backend->m_faults.m_ignoresDeadline = false;
    // A run that lasts longer than the stop keeps the process up to its end.
    stopping.m_backend->m_serviceTime = fleet.m_nodes[1]->m_backend->m_serviceTime = 9s;
    std::optional<CallerResponse> parent;
    CallerRequest request;
    request.m_deadline = 10s;
    const auto connection = fleet.send(stopping, request, "parent", parent);
    fleet.runFor(200ms);
    const std::chrono::milliseconds serviceTime = GENERATE(20ms, 700ms);
    CAPTURE(serviceTime.count());
    for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
        node->m_backend->m_serviceTime = serviceTime;

    std::vector<KeptCaller> callers(GracePeriod / SendInterval);
    for (KeptCaller &caller : callers)
        caller.m_connection = std::make_unique<RawCaller>(
                fleet.m_context, stopping.m_settings.m_relay.m_callerAddress);
    fleet.runFor(50ms);
    stopping.m_node->stop();
    const TimePoint stoppedAt = std::chrono::steady_clock::now();
    constexpr int Kinds = 5;
    for (std::size_t index = 0; index < callers.size(); ++index) {
        if (!stopping.m_stopped)
            sendKind(callers[index], static_cast<int>(index) % Kinds, "k" + std::to_string(index));
        const auto end = stoppedAt + SendInterval * static_cast<int>(index + 1);
        fleet.runUntil([&end] { return std::chrono::steady_clock::now() >= end; });
        for (KeptCaller &caller : callers) {
            if (!caller.m_rest.empty() && std::chrono::steady_clock::now() >= caller.m_restAt)
                caller.m_connection->send(std::exchange(caller.m_rest, ""));
        }
        if (stopping.m_stopped) {
            // What is still open ends with the process.
            fleet.kill(stopping);
            break;
        }
    }
    CHECK(stopping.m_stopped);
    CHECK(std::chrono::steady_clock::now() - stoppedAt < GracePeriod);
    fleet.runFor(1500ms);
    int served = 0;
    int refused = 0;
    for (const KeptCaller &caller : callers) {
        for (const std::string &attempt : caller.m_attempts) {
            int runs = 0;
            for (const std::unique_ptr<FleetNode> &node : fleet.m_nodes)
                runs += node->m_backend->runs(attempt);
            const int status = statusOf(caller.m_connection->m_received, attempt);
            CAPTURE(attempt, runs, status);
            CHECK(runs <= 1);
            // What has run is answered by its backend server, and what has not is refused, or its
            // connection ends before it has been read as a whole.
            CHECK((runs == 1 ? status == 200 || status == 504
                             : status == 503 || (status == 0 && caller.m_connection->m_closed)));
            served += status == 200 ? 1 : 0;
            refused += status == 503 ? 1 : 0;
        }
    }
    CHECK(served >= 20);
    CHECK(refused >= 10);
}
