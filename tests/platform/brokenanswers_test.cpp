#include "platform/standin/fleet.h"
#include "platform/standin/scriptedbackend.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <string_view>

using namespace std::chrono_literals;

namespace {

/** More than the system takes at once, so that the request is still being written. */
constexpr std::size_t UploadBytes = 24UL * 1024 * 1024;

/** Routes of callers, with time for an upload on a busy machine. */
constexpr const char *Routes =
        R"(["slip-lookup","slips.example","/slips/","idempotent",5.0,1.0,2,null,2,false,"slipdesk"],
           ["print-order","slips.example","/orders/","non_idempotent",5.0,1.0,0,null,2,false,"slipdesk"])";

/** Two nodes, the second with a backend server of the callers' service whose bytes a test writes.
 */
struct BrokenAnswerCase
{
    Fleet m_fleet;
    std::unique_ptr<ScriptedBackend> m_backend;

    BrokenAnswerCase()
    {
        FleetNode &entry = m_fleet.addNode("n1", "printhall");
        FleetNode &beside = m_fleet.addNode("n2", "slipdesk");
        beside.m_backend->crash();
        m_backend = std::make_unique<ScriptedBackend>(
                m_fleet.m_context, beside.m_backend->address(), beside.m_backend->id());
        m_fleet.configure(1, Routes, 2 * UploadBytes);
        m_fleet.announce(entry);
        REQUIRE(m_fleet.settle());
        REQUIRE(m_fleet.runUntil([this, &beside] {
            m_backend->serve();
            return m_fleet.announce(beside) == 200;
        }));
    }

    /** @returns all that a caller receives until the limit or the end of its connection. */
    std::string call(FleetNode &node, const std::string &method, const std::string &target,
                     const std::string &attempt, const std::string &body = "")
    {
        RawCaller caller(m_fleet.m_context, node.m_settings.m_relay.m_callerAddress);
        const std::string request = method + " " + target + " HTTP/1.1\r\nHost: slips.example\r\n"
                + (attempt.empty() ? "" : "X-Chervilmount-Attempt-Id: " + attempt + "\r\n")
                + "X-Chervilmount-Deadline-Ms: 5000\r\nX-Chervilmount-Key: key-large\r\n"
                + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body;
        std::size_t sent = 0;
        REQUIRE(m_fleet.runUntil([&] {
            // The node runs in this thread, so a blocking send would wait for ever.
            if (sent < request.size())
                sent += caller.trySend(std::string_view(request).substr(sent));
            m_backend->serve();
            return caller.m_closed;
        }));
        return caller.m_received;
    }

    /** Entry node and node beside the backend server: the answer crosses a link, or does not. */
    FleetNode &node(bool beside) { return *m_fleet.m_nodes[beside ? 1 : 0]; }
};

/** @returns an answer's status line and its fields behind the identifier. */
std::string headOf(const std::string &status, const std::string &attempt)
{
    return "HTTP/1.1 " + status + " Reason\r\n"
            + (attempt.empty() ? "" : "X-Chervilmount-Attempt-Id: " + attempt + "\r\n");
}

const std::string Seal = "X-Chervilmount-Server-Seal: seal\r\n";

/** @returns whether the caller got a failure of the node, and nothing of the backend server. */
bool isFailureOfNode(const std::string &received)
{
    return received.starts_with("HTTP/1.1 50") && received.find("Seal") == std::string::npos
            && received.find("secret") == std::string::npos;
}

} // namespace

// Guards against a stand-in that fails every answer: a sound one reaches callers as it is.
TEST_CASE("A sound answer of a scripted backend server arrives")
{
    BrokenAnswerCase test;
    const std::string framing =
            GENERATE(as<std::string>(), "Content-Length: 6\r\n\r\nsecret",
                     "Transfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n\r\n", "\r\nsecret");
    const bool beside = GENERATE(false, true);
    test.m_backend->m_script = [&framing](RawCaller &connection, const std::string &attempt) {
        connection.send(headOf("200", attempt) + Seal + framing);
        connection.endOutput();
    };
    const std::string received = test.call(test.node(beside), "GET", "/slips/1", "a1");
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.find("seal") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\nsecret"));
}

// Guards against part of a body that callers get as a complete answer: the backend server answers a
// long upload at once and without a length, and resets the connection while the upload is written.
TEST_CASE("Callers get no success for an answer to an upload that a reset cuts")
{
    BrokenAnswerCase test;
    const bool beside = GENERATE(false, true);
    const bool idempotent = GENERATE(false, true);
    CAPTURE(beside, idempotent);
    test.m_backend->m_script = [&test](RawCaller &connection, const std::string &attempt) {
        connection.stopReading();
        connection.send(headOf("200", attempt) + Seal + "\r\nsecret, the first part");
        test.m_fleet.runFor(20ms);
        connection.reset();
    };
    const std::string received =
            test.call(test.node(beside), "POST", idempotent ? "/slips/1" : "/orders/1", "a1",
                      std::string(UploadBytes, 'x'));
    CHECK(isFailureOfNode(received));
    CHECK(received.starts_with("HTTP/1.1 502 "));
    if (!idempotent)
        CHECK(test.m_backend->m_arrivals == 1);
}

// Guards against answers that are none in HTTP and reach callers, at the entry node and at the node
// beside the backend server. An order runs once whatever comes back.
TEST_CASE("Callers get a failure of the node for an answer that is none in HTTP")
{
    BrokenAnswerCase test;
    struct Answer
    {
        const char *m_status;
        const char *m_lines;
    };
    const Answer answer = GENERATE(Answer{"000", ""}, Answer{"099", ""}, Answer{"101", ""},
                                   Answer{"600", ""}, Answer{"20", ""}, Answer{"2000", ""},
                                   Answer{"200", "Na me: x\r\n"}, Answer{"200", "Name : x\r\n"},
                                   Answer{"200", " folded\r\n"}, Answer{"200", "Na\x01me: x\r\n"},
                                   Answer{"200", "Name: \x01\r\n"}, Answer{"200", ": x\r\n"},
                                   Answer{"200", "Name\r\n"}, Answer{"200", "Name: x\nY: z\r\n"},
                                   Answer{"200", "Transfer-Encoding: gzip\r\n"});
    const std::string framing =
            GENERATE(as<std::string>(), "Content-Length: 6\r\n\r\nsecret", "\r\nsecret");
    const bool beside = GENERATE(false, true);
    const std::string attempt = GENERATE(as<std::string>(), "a1", "");
    CAPTURE(answer.m_status, answer.m_lines, framing, beside, attempt);
    test.m_backend->m_script = [&](RawCaller &connection, const std::string &id) {
        connection.send(headOf(answer.m_status, id) + Seal + answer.m_lines + framing);
        connection.endOutput();
    };
    const std::string received = test.call(test.node(beside), "GET", "/orders/1", attempt);
    CHECK(isFailureOfNode(received));
    CHECK(received.starts_with("HTTP/1.1 502 "));
    CHECK(test.m_backend->m_arrivals == 1);
}

// Guards against a caller that is told "not run" and orders again: the backend server fails with
// such a status after it has run the request, without stating that it has not run.
TEST_CASE("A status that means not run reaches no caller for a request that may have run")
{
    BrokenAnswerCase test;
    const std::string status = GENERATE(as<std::string>(), "503", "429", "408", "421");
    const bool beside = GENERATE(false, true);
    const std::string seal = GENERATE(as<std::string>(), Seal, "");
    const std::string target = GENERATE(as<std::string>(), "/orders/1", "/slips/1");
    const std::string upload = GENERATE(as<std::string>(), "", std::string(200000, 'x'));
    CAPTURE(status, beside, seal, target, upload.size());
    // Without a seal this status comes from a server that the request was not meant for.
    if (status == "421" && seal.empty())
        return;
    test.m_backend->m_script = [&](RawCaller &connection, const std::string &attempt) {
        connection.send(headOf(status, attempt) + seal
                        + "Retry-After: 1\r\nContent-Length: 6\r\n\r\nsecret");
    };
    const std::string received = test.call(test.node(beside), "POST", target, "a1", upload);
    CHECK(received.starts_with("HTTP/1.1 502 "));
    CHECK(isFailureOfNode(received));
    CHECK(received.find("Retry-After") == std::string::npos);
    CHECK(test.m_backend->m_arrivals == 1);
}

// Guards against the opposite fault: a refusal that is true and loses its promise or its time to
// come back, or that costs more attempts than one at each server.
TEST_CASE("A true refusal reaches the caller as not run, with the time to come back")
{
    BrokenAnswerCase test;
    const std::string status = GENERATE(as<std::string>(), "503", "429", "421", "400");
    const bool beside = GENERATE(false, true);
    const std::string target = GENERATE(as<std::string>(), "/orders/1", "/slips/1");
    CAPTURE(status, beside, target);
    test.m_backend->m_script = [&](RawCaller &connection, const std::string &attempt) {
        connection.send(headOf(status, attempt)
                        + "X-Chervilmount-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const std::string received = test.call(test.node(beside), "POST", target, "a1");
    CHECK(received.starts_with("HTTP/1.1 503 "));
    CHECK(received.find("Retry-After: ") != std::string::npos);
    CHECK(test.m_backend->m_arrivals == 1);
}

// Guards against other failures of a backend server that lose their status or seal.
TEST_CASE("Other failures of a backend server reach the caller as they are")
{
    BrokenAnswerCase test;
    const std::string status = GENERATE(as<std::string>(), "400", "404", "500", "502", "504");
    const bool beside = GENERATE(false, true);
    CAPTURE(status, beside);
    test.m_backend->m_script = [&](RawCaller &connection, const std::string &attempt) {
        connection.send(headOf(status, attempt) + Seal + "Content-Length: 6\r\n\r\nreason");
    };
    const std::string received = test.call(test.node(beside), "POST", "/orders/1", "a1");
    CHECK(received.starts_with("HTTP/1.1 " + status + " "));
    CHECK(received.find("Seal: seal") != std::string::npos);
    CHECK(received.ends_with("\r\n\r\nreason"));
}
