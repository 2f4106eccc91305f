#include "platform/standin/fleet.h"
#include "relay/rawcaller.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace relay = chervilmount::relay;

namespace {

constexpr const char *Routes =
        R"(["slip-lookup","slips.example","/slips/","idempotent",1.2,1.0,2,null,2,false,"slipdesk"],
           ["frame-upload","slips.example","/frames/","upload",1.2,1.0,1,null,2,false,"slipdesk"])";

/** Bytes that show where a part of the body is missing or stands twice. */
std::string pattern(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += std::to_string(text.size()) + ",";
    text.resize(bytes);
    return text;
}

std::string requestText(const std::string &attempt, const std::string &method = "GET",
                        const std::string &target = "/slips/1", const std::string &body = "")
{
    return method + " " + target + " HTTP/1.1\r\nHost: slips.example\r\nX-Chervilmount-Attempt-Id: "
            + attempt + "\r\nX-Chervilmount-Deadline-Ms: 3000\r\nX-Chervilmount-Key: key-large\r\n"
            + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n")
            + "\r\n" + body;
}

/** Two nodes of one service, and a caller whose bytes the test writes. */
struct PipelineCase
{
    Fleet m_fleet;
    std::unique_ptr<RawCaller> m_caller;

    PipelineCase()
    {
        m_fleet.addNode("n1", "slipdesk");
        m_fleet.addNode("n2", "slipdesk");
        m_fleet.configure(1, Routes);
        REQUIRE(m_fleet.runUntil([this] {
            return node(0).m_node->policyVersion() == 1 && node(1).m_node->policyVersion() == 1;
        }));
        m_fleet.announce(node(0));
        m_fleet.announce(node(1));
        REQUIRE(m_fleet.settle());
        m_caller = makeCaller();
    }

    FleetNode &node(std::size_t index) { return *m_fleet.m_nodes[index]; }

    std::unique_ptr<RawCaller> makeCaller()
    {
        return std::make_unique<RawCaller>(m_fleet.m_context,
                                           node(0).m_settings.m_relay.m_callerAddress);
    }

    void awaitAnswers(int count)
    {
        m_fleet.runUntil([this, count] {
            return m_caller->m_closed || countOf(m_caller->m_received, "HTTP/1.1 ") >= count;
        });
    }

    int runs(const std::string &attempt)
    {
        return node(0).m_backend->runs(attempt) + node(1).m_backend->runs(attempt);
    }

    void setFault(bool BackendFaults::*fault)
    {
        node(0).m_backend->m_faults.*fault = true;
        node(1).m_backend->m_faults.*fault = true;
    }
};

CallerRequest upload(const std::string &body)
{
    CallerRequest request;
    request.m_method = "POST";
    request.m_target = "/frames/1";
    request.m_body = body;
    return request;
}

} // namespace

// Guards against an answer that reaches another request of the same connection.
TEST_CASE("Requests of one connection get their own answers in their order")
{
    PipelineCase test;
    std::string stream;
    for (int request = 0; request < 40; ++request)
        stream += requestText("p" + std::to_string(request));
    test.m_caller->send(stream);
    test.awaitAnswers(40);
    std::size_t last = 0;
    for (int request = 0; request < 40; ++request) {
        const std::string attempt = "p" + std::to_string(request);
        INFO(attempt);
        const std::size_t at = test.m_caller->m_received.find("body of " + attempt);
        REQUIRE(at != std::string::npos);
        CHECK(at >= last);
        last = at;
        CHECK(test.runs(attempt) == 1);
    }
}

// Guards against requests of a stop that run and whose answers are cut off, where several wait on
// one connection and an upload is among them.
TEST_CASE("Requests that wait on one connection during a stop are answered or not begun")
{
    PipelineCase test;
    test.node(0).m_backend->m_serviceTime = 200ms;
    test.node(1).m_backend->m_serviceTime = 200ms;
    const std::chrono::milliseconds after = GENERATE(0ms, 1s, 3s, 5s);
    CAPTURE(after.count());
    // A request that is taken before the stop on the same connection.
    test.m_caller->send(requestText("before"));
    REQUIRE(test.m_fleet.runUntil([&test] { return test.runs("before") == 1; }));
    std::vector<std::string> attempts{"before"};
    const auto stoppedAt = std::chrono::steady_clock::now();
    test.node(0).m_node->stop();
    // The process goes on as long as a request runs.
    test.node(0).m_backend->m_serviceTime = 6s;
    std::optional<CallerResponse> ignored;
    CallerRequest longRequest;
    const auto keeper = test.m_fleet.send(test.node(0), longRequest, "keeper", ignored);
    test.m_fleet.runFor(10ms);
    test.node(0).m_backend->m_serviceTime = 200ms;
    const std::chrono::nanoseconds left = stoppedAt + after - std::chrono::steady_clock::now();
    test.m_fleet.runFor(std::max(0ms, std::chrono::duration_cast<std::chrono::milliseconds>(left)));
    std::string stream;
    for (const char *attempt : {"s1", "s2"}) {
        attempts.emplace_back(attempt);
        stream += requestText(attempt);
    }
    attempts.emplace_back("s3");
    stream += requestText("s3", "POST", "/frames/1", pattern(90000));
    attempts.emplace_back("s4");
    stream += requestText("s4");
    test.m_caller->trySend(stream);
    test.m_fleet.runUntil([&test] { return test.m_caller->m_closed || test.node(0).m_stopped; },
                          6s);
    test.m_fleet.kill(test.node(0));
    test.m_fleet.runFor(300ms);
    for (const std::string &attempt : attempts) {
        INFO(attempt);
        CHECK((test.runs(attempt) == 0
               || countOf(test.m_caller->m_received, "body of " + attempt) == 1));
    }
    // An answer that promises "not run" is true.
    CHECK(countOf(test.m_caller->m_received, "body of before") == 1);
}

// Guards against an upload whose bytes are lost, or that runs twice.
TEST_CASE("An upload arrives whole and once")
{
    PipelineCase test;
    const std::string body = pattern(90000);
    for (int request = 0; request < 10; ++request) {
        const std::string attempt = "u" + std::to_string(request);
        CHECK(test.m_fleet.request(test.node(0), upload(body), attempt).m_status == 200);
        CHECK(test.runs(attempt) == 1);
    }
    for (const std::unique_ptr<FleetNode> &node : test.m_fleet.m_nodes) {
        for (const BackendRun &run : node->m_backend->m_runs)
            CHECK(run.m_request.body() == body);
    }
}

// Guards against an upload that is repeated although it may have run.
TEST_CASE("An upload whose answer is lost is not sent again")
{
    PipelineCase test;
    test.setFault(&BackendFaults::m_resets);
    const CallerResponse response =
            test.m_fleet.request(test.node(0), upload(pattern(90000)), "lost");
    CHECK(response.m_status == 502);
    CHECK(test.runs("lost") == 1);
}

// Guards against an upload that is given up although another backend server could take it.
TEST_CASE("An upload that a backend server has not run is sent to another one")
{
    PipelineCase test;
    // The budget for repeats is a part of the first attempts and allows three at once.
    for (int request = 0; request < 20; ++request)
        CHECK(test.m_fleet.request(test.node(0), {}, "w" + std::to_string(request)).m_status
              == 200);
    test.node(0).m_backend->m_faults.m_refuses = true;
    const int arrivals = test.node(0).m_backend->m_arrivals;
    int served = 0;
    for (int request = 0; request < 3; ++request) {
        const std::string attempt = "r" + std::to_string(request);
        const CallerResponse response =
                test.m_fleet.request(test.node(0), upload(pattern(90000)), attempt);
        served += response.m_status == 200 ? 1 : 0;
        CHECK((response.m_status == 200 || response.m_status == 503));
        CHECK(test.runs(attempt) == (response.m_status == 200 ? 1 : 0));
    }
    CHECK(served == 3);
    CHECK(test.node(0).m_backend->m_arrivals > arrivals);
}

// Guards against a caller that leaves in the middle of an upload and keeps memory or a run.
TEST_CASE("An upload whose caller leaves halfway does not run and frees its memory")
{
    PipelineCase test;
    const std::string whole = requestText("half", "POST", "/frames/1", pattern(90000));
    test.m_caller->send(whole.substr(0, whole.size() / 2));
    test.m_fleet.runFor(50ms);
    CHECK(test.node(0).m_node->bodyBytes() >= 40000);
    test.m_caller->close();
    CHECK(test.m_fleet.runUntil([&test] { return test.node(0).m_node->bodyBytes() == 0; }, 500ms));
    CHECK(test.runs("half") == 0);
}

// Guards against an upload beyond the limit that is read to its end before it is refused.
TEST_CASE("An upload beyond the limit is refused before its body is sent")
{
    PipelineCase test;
    const std::string whole = requestText("large", "POST", "/frames/1", pattern(100001));
    test.m_caller->send(whole.substr(0, whole.find("\r\n\r\n") + 4));
    test.awaitAnswers(1);
    CHECK(countOf(test.m_caller->m_received, "HTTP/1.1 413") == 1);
    CHECK(test.runs("large") == 0);
}

// Guards against requests that wait behind one which a backend server never answers, and against a
// connection that is used again although nothing on it is answered any more.
TEST_CASE("A backend server that does not answer holds up only the requests that it got")
{
    PipelineCase test;
    test.setFault(&BackendFaults::m_losesAnswers);
    const CallerResponse hung = test.m_fleet.request(test.node(0), upload("x"), "hung");
    // It may have run.
    CHECK(hung.m_status == 504);
    CHECK(test.runs("hung") == 1);
    test.node(0).m_backend->m_faults = {};
    test.node(1).m_backend->m_faults = {};
    for (int request = 0; request < 10; ++request)
        CHECK(test.m_fleet.request(test.node(0), {}, "h" + std::to_string(request)).m_status
              == 200);
}

// Guards against a node that sends its backend server more than it has slots for: some of them do
// not refuse what they cannot queue, but never answer it.
TEST_CASE("Many callers at once never get the backend servers more work than they have slots")
{
    PipelineCase test;
    for (const std::unique_ptr<FleetNode> &node : test.m_fleet.m_nodes)
        node->m_backend->m_serviceTime = 20ms;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int caller = 0; caller < 20; ++caller) {
        callers.push_back(test.makeCaller());
        std::string stream;
        for (int request = 0; request < 8; ++request)
            stream += requestText("m" + std::to_string(caller) + "-" + std::to_string(request));
        callers.back()->send(stream);
    }
    test.m_fleet.runUntil([&callers] {
        for (const std::unique_ptr<RawCaller> &caller : callers) {
            if (countOf(caller->m_received, "HTTP/1.1 ") < 8)
                return false;
        }
        return true;
    });
    for (const std::unique_ptr<FleetNode> &node : test.m_fleet.m_nodes)
        CHECK(node->m_backend->m_largestRunning <= node->m_backend->m_slots);
    for (const std::unique_ptr<RawCaller> &caller : callers) {
        CHECK(countOf(caller->m_received, "HTTP/1.1 200")
                      + countOf(caller->m_received, "HTTP/1.1 503")
              == 8);
    }
}

// Guards against work for callers that have left, and against runs of the others that end with it.
TEST_CASE("Requests on one connection are broken off when their caller leaves")
{
    PipelineCase test;
    test.node(0).m_backend->m_serviceTime = 800ms;
    test.node(1).m_backend->m_serviceTime = 800ms;
    test.m_caller->send(requestText("l1") + requestText("l2") + requestText("l3"));
    REQUIRE(test.m_fleet.runUntil(
            [&test] { return test.runs("l1") + test.runs("l2") + test.runs("l3") == 3; }));
    test.m_caller->close();
    CHECK(test.m_fleet.runUntil(
            [&test] {
                return test.node(0).m_backend->m_abandoned + test.node(1).m_backend->m_abandoned
                        == 3;
            },
            500ms));
}
