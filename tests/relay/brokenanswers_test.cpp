#include "relay/clientcase.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace chervilmount::relay;
using namespace std::chrono_literals;

namespace http = boost::beast::http;

namespace {

/** More than the system takes at once, so that the request is still being written. */
constexpr std::size_t UploadBytes = 20UL * 1024 * 1024;
/** Time in which bytes on loopback have arrived. */
constexpr std::chrono::milliseconds ArrivalTime{20};

const std::string HeadWithoutLength = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\n\r\n";

/** Begins an upload at a server that does not read it. @param kept the connection was used before.
 */
void beginUpload(ClientCase &test, bool kept)
{
    if (kept) {
        test.request("a");
        test.m_server->send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n");
        test.awaitResult();
        REQUIRE(test.m_client->isReusable(std::chrono::steady_clock::now()));
    }
    test.m_server->stopReading();
    test.request("b", std::string(UploadBytes, 'x'), http::verb::post);
    runUntil(
            test.m_context, [] { return false; }, ArrivalTime);
}

} // namespace

// Guards against part of a body that callers get as whole: a backend server answered an upload at
// once and without a length, and reset the connection. The write that was under way received the
// reset, and the read that followed found a plain end.
TEST_CASE("An answer without a length that a reset cuts beside an upload is broken")
{
    const bool kept = GENERATE(false, true);
    const bool partIsReadFirst = GENERATE(false, true);
    CAPTURE(kept, partIsReadFirst);
    ClientCase test;
    beginUpload(test, kept);
    test.m_server->send(HeadWithoutLength + "part of the body");
    if (partIsReadFirst)
        runUntil(
                test.m_context, [] { return false; }, ArrivalTime);
    test.m_server->reset();
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
}

// Guards against the same where the request has been written whole: only the read meets the reset.
TEST_CASE("An answer without a length that a reset cuts is broken")
{
    ClientCase test;
    test.request("b");
    test.awaitRequest();
    test.m_server->send(HeadWithoutLength + "part of the body");
    if (GENERATE(false, true))
        runUntil(
                test.m_context, [] { return false; }, ArrivalTime);
    test.m_server->reset();
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
}

// Guards against a whole answer that is dropped: a sound backend server may answer an upload early
// and without a length. The end of its bytes arrives in order, before any reset.
TEST_CASE("An early answer without a length arrives whole")
{
    enum class After { Waits, Reads, Closes };
    const After after = GENERATE(After::Waits, After::Reads, After::Closes);
    const bool kept = GENERATE(false, true);
    CAPTURE(static_cast<int>(after), kept);
    ClientCase test;
    beginUpload(test, kept);
    test.m_server->send(HeadWithoutLength + "whole body");
    test.m_server->endOutput();
    if (after == After::Reads)
        test.m_server->resumeReading();
    // The rest of the upload is unread, so closing resets the connection behind the end.
    if (after == After::Closes)
        test.m_server->close();
    test.awaitResult();
    REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
    CHECK(test.m_result->m_response.body() == "whole body");
    CHECK(test.m_client->isClosed());
}

// Guards against the same for an answer that has a length: a reset behind its last byte cuts
// nothing.
TEST_CASE("An early answer with a length is whole although a reset follows")
{
    const std::string framing =
            GENERATE(as<std::string>(), "Content-Length: 10\r\n\r\nwhole body",
                     "Transfer-Encoding: chunked\r\n\r\na\r\nwhole body\r\n0\r\n\r\n");
    ClientCase test;
    beginUpload(test, false);
    test.m_server->send("HTTP/1.1 200 OK\r\nId: b\r\n" + framing);
    test.m_server->reset();
    test.awaitResult();
    REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
    CHECK(test.m_result->m_response.body() == "whole body");
}

namespace {

/** How the end of an answer's body is told. */
enum class Framing { Length, Chunks, EndOfConnection };

struct AnswerParts
{
    std::string m_status = "200";
    std::string m_id = "a";
    /** Lines in the middle of the head. */
    std::string m_lines{};
    Framing m_framing = Framing::Length;
    std::string m_trailers{};
};

std::string answerOf(const AnswerParts &parts)
{
    const std::string start = "HTTP/1.1 " + parts.m_status + " Reason\r\n"
            + (parts.m_id.empty() ? "" : "Id: " + parts.m_id + "\r\n") + parts.m_lines;
    if (parts.m_framing == Framing::Length)
        return start + "Seal: s\r\nContent-Length: 4\r\n\r\nbody";
    if (parts.m_framing == Framing::Chunks)
        return start + "Transfer-Encoding: chunked\r\nSeal: s\r\n\r\n4\r\nbody\r\n0\r\n"
                + parts.m_trailers + "\r\n";
    return start + "Seal: s\r\n\r\nbody";
}

/** Sends an answer to a request on a first or a kept connection and waits for the outcome. */
void answerRequest(ClientCase &test, bool kept, const AnswerParts &parts,
                   http::verb method = http::verb::get)
{
    if (kept) {
        test.request("first");
        test.m_server->send("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n");
        test.awaitResult();
    }
    test.request(parts.m_id, "", method);
    test.awaitRequest();
    test.m_server->send(answerOf(parts));
    if (parts.m_framing == Framing::EndOfConnection)
        test.m_server->endOutput();
    test.awaitResult();
}

Framing eachFraming()
{
    return GENERATE(Framing::Length, Framing::Chunks, Framing::EndOfConnection);
}

} // namespace

// Guards against checks that fail sound answers.
TEST_CASE("Sound answers pass the checks, however their end is told")
{
    AnswerParts parts;
    parts.m_framing = eachFraming();
    parts.m_status = GENERATE(as<std::string>(), "200", "299", "302", "404", "500", "599");
    parts.m_lines = GENERATE(as<std::string>(), "", "X-Text: tab\tand \xe9\r\n", "X-Empty:\r\n",
                             "!#$%&'*+-.^_`|~: all\r\n");
    const bool kept = GENERATE(false, true);
    ClientCase test;
    answerRequest(test, kept, parts);
    REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
    CHECK(test.m_result->m_response.result_int() == std::stoul(parts.m_status));
    CHECK(test.m_result->m_response.body() == "body");
    CHECK(test.m_client->isReusable(std::chrono::steady_clock::now())
          == (parts.m_framing != Framing::EndOfConnection));
}

// Guards against a malformed line that is passed on, or that hides the framing, so that callers get
// a body that is not the backend server's.
TEST_CASE("An answer with a malformed line in its head is broken")
{
    using namespace std::string_literals;
    AnswerParts parts;
    parts.m_lines = GENERATE("Na me: x\r\n"s, "Name : x\r\n"s, "Name\t: x\r\n"s, " Name: x\r\n"s,
                             "\tName: x\r\n"s, " folded\r\n"s, "X: y\r\n folded\r\n"s,
                             "X:\r\n folded\r\n"s, " \r\n"s, "Na\x01me: x\r\n"s, "Na\x7fme: x\r\n"s,
                             "Na\0me: x\r\n"s, "Na\xe9me: x\r\n"s, "Na(me: x\r\n"s, ": x\r\n"s,
                             "Name\r\n"s, "Name: \x01x\r\n"s, "Name: x\x7f\r\n"s, "Name: \0\r\n"s,
                             "Name: x\rY: z\r\n"s, "Name: x\nY: z\r\n"s, "Name: x\n"s,
                             "\nY: z\r\n"s, "\rY: z\r\n"s, "Na\rme: x\r\n"s);
    parts.m_framing = eachFraming();
    const bool kept = GENERATE(false, true);
    const http::verb method = GENERATE(http::verb::get, http::verb::head);
    CAPTURE(parts.m_lines, static_cast<int>(parts.m_framing), kept, method);
    ClientCase test;
    answerRequest(test, kept, parts, method);
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
}

// Guards against a body whose end or coding is not what the answer states.
TEST_CASE("An answer with contradictory or unknown framing is broken")
{
    const std::string framing = GENERATE(
            as<std::string>(), "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
            "Content-Length: 4, 5\r\n\r\nbody", "Content-Length: -4\r\n\r\nbody",
            "Content-Length: +4\r\n\r\nbody", "Content-Length: 4 4\r\n\r\nbody",
            "Content-Length: 0x4\r\n\r\nbody", "Content-Length:\r\n\r\nbody",
            "Content-Length: 99999999999999999999999\r\n\r\nbody",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: gzip\r\n\r\nbody",
            "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: identity\r\n\r\nbody", "Transfer-Encoding:\r\n\r\nbody",
            "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked;q=1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n 4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n0x4\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyX\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n10000000000000004\r\nbody\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n4;\x01\r\nbody\r\n0\r\n\r\n");
    const bool kept = GENERATE(false, true);
    CAPTURE(framing, kept);
    ClientCase test;
    if (kept)
        answerRequest(test, false, {.m_id = "first"});
    test.request("a");
    test.awaitRequest();
    test.m_server->send("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n" + framing);
    test.m_server->endOutput();
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
}

// Guards against an answer whose status is none, and against one that ends the exchange as interim.
TEST_CASE("An answer with a status that HTTP does not define is broken")
{
    AnswerParts parts;
    parts.m_status = GENERATE(as<std::string>(), "000", "001", "099", "101", "600", "999", "20",
                              "2000", "", "-20", "+20", "2 0", "0x2", "2OO");
    parts.m_framing = eachFraming();
    parts.m_id = GENERATE(as<std::string>(), "a", "");
    const bool kept = parts.m_id.empty() ? false : GENERATE(false, true);
    CAPTURE(parts.m_status, static_cast<int>(parts.m_framing), parts.m_id, kept);
    ClientCase test;
    answerRequest(test, kept, parts);
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
}

// Guards against fields behind the body that count as fields of the head: they would say "not run"
// of a request that has run, or seal an answer that the head does not.
TEST_CASE("Trailer fields are not part of the answer's head")
{
    AnswerParts parts;
    parts.m_framing = Framing::Chunks;
    parts.m_trailers = GENERATE(as<std::string>(), "Not-Run: 1\r\n", "Id: other\r\n", "Seal: t\r\n",
                                "Connection: close\r\nNot-Run: 1\r\n");
    CAPTURE(parts.m_trailers);
    ClientCase test;
    answerRequest(test, GENERATE(false, true), parts);
    REQUIRE(test.m_result->m_status == ExchangeStatus::Answered);
    const HttpResponse &response = test.m_result->m_response;
    CHECK(response.body() == "body");
    CHECK(response.find("Not-Run") == response.end());
    CHECK(response.count("Id") == 1);
    CHECK(fieldValue(response, "Id") == "a");
    CHECK(response.count("Seal") == 1);
    CHECK(fieldValue(response, "Seal") == "s");
}

// Guards against a malformed trailer that is read as sound.
TEST_CASE("An answer with a malformed trailer is broken")
{
    AnswerParts parts;
    parts.m_framing = Framing::Chunks;
    parts.m_trailers = GENERATE(as<std::string>(), "Na me: x\r\n", "Name : x\r\n", " Name: x\r\n",
                                "Na\x01me: x\r\n", ": x\r\n", "Name\r\n", "Name: \x01\r\n",
                                "Name: x\rY: z\r\n", "Name: x\nY: z\r\n", "Content-Length: 9\r\n",
                                "Transfer-Encoding: chunked\r\n");
    const bool kept = GENERATE(false, true);
    CAPTURE(parts.m_trailers, kept);
    ClientCase test;
    answerRequest(test, kept, parts);
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
}

// Guards against a node that runs out of memory: the parser bounds only the bytes of a head that it
// has not used yet, which stay few if each segment ends just behind the start of a line.
TEST_CASE("A head that arrives line by line without end is broken off")
{
    constexpr int Lines = 2000;
    const bool interim = GENERATE(false, true);
    ClientCase test;
    test.request("a");
    test.awaitRequest();
    test.m_server->send(interim ? "HTTP/1.1 103 Early Hints\r\nX" : "HTTP/1.1 200 OK\r\nX");
    int lines = 0;
    while (!test.m_result && lines < Lines) {
        test.m_server->send("-More: " + std::string(90, 'x') + "\r\nX");
        test.m_context.restart();
        test.m_context.poll();
        ++lines;
    }
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(lines < Lines);
}

// Guards against one backend server that takes all memory for bodies: the answers of others, and
// the uploads of callers, found none left.
TEST_CASE("Bodies without end leave memory for other answers")
{
    constexpr std::size_t Endless = 20;
    const std::string framing =
            GENERATE(as<std::string>(), "\r\n", "Content-Length: 900000\r\n\r\n",
                     "Transfer-Encoding: chunked\r\n\r\ndbba0\r\n");
    SharedServer server;
    std::vector<std::unique_ptr<ServerClient>> clients;
    for (std::size_t client = 0; client <= Endless; ++client)
        clients.push_back(std::make_unique<ServerClient>(server));
    for (std::size_t client = 0; client < Endless; ++client) {
        clients[client]->request("a");
        clients[client]->m_server->send("HTTP/1.1 200 OK\r\nId: a\r\n" + framing);
    }
    ServerClient &other = *clients.back();
    constexpr int Rounds = 200;
    int answered = 0;
    std::size_t mostUsed = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t client = 0; client < Endless; ++client)
            clients[client]->m_server->trySend(std::string(1000, 'x'));
        other.request("a");
        other.m_server->send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2000\r\n\r\n"
                             + std::string(2000, 'y'));
        REQUIRE(runUntil(server.m_loop, [&other] { return other.m_result.has_value(); }));
        answered += other.m_result->m_status == ExchangeStatus::Answered ? 1 : 0;
        if (other.m_client->isClosed())
            break;
        mostUsed = std::max(mostUsed, server.m_bodies->m_used);
    }
    CHECK(answered == Rounds);
    CHECK(mostUsed <= server.m_bodies->m_limit);
}

// Guards against an answer to nothing: without an identifier, bytes from before the request cannot
// be told from the answer to it.
TEST_CASE("Bytes from before a request without an identifier do not answer it")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    ClientCase test;
    test.m_server->send(answer);
    std::this_thread::sleep_for(ArrivalTime);
    test.request("");
    test.awaitResult();
    CHECK(test.m_result->m_status == ExchangeStatus::Broken);
    CHECK(test.m_client->isClosed());
}

namespace {

std::string peakMemory()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line) && !line.starts_with("VmHWM"))
        ;
    return line;
}

/** Prints the peak memory of the process beside endless bodies, with the limits of the default
 * settings. */
void measurePeakMemory(std::size_t endless)
{
    SharedServer server;
    server.m_bodies->m_limit = 64UL * 1024 * 1024;
    std::vector<std::unique_ptr<ServerClient>> clients;
    for (std::size_t client = 0; client < endless; ++client) {
        clients.push_back(std::make_unique<ServerClient>(server, 32UL * 1024 * 1024));
        clients.back()->request("a");
        clients.back()->m_server->send("HTTP/1.1 200 OK\r\nId: a\r\n\r\n");
    }
    WARN(endless << " answers, before: " << peakMemory());
    const std::string bytes(64UL * 1024, 'x');
    std::size_t mostUsed = 0;
    const bool allEnded = runUntil(
            server.m_loop,
            [&] {
                for (const std::unique_ptr<ServerClient> &client : clients)
                    client->m_server->trySend(bytes);
                mostUsed = std::max(mostUsed, server.m_bodies->m_used);
                return std::all_of(clients.begin(), clients.end(),
                                   [](const auto &client) { return client->m_result.has_value(); });
            },
            60s);
    CHECK(allEnded);
    WARN(endless << " answers, after: " << peakMemory() << ", bodies " << mostUsed);
}

} // namespace

// Measurements, hidden since each needs a process of its own: relay_tests "Peak memory beside 100*"
TEST_CASE("Peak memory beside 1 endless body", "[.memory]")
{
    measurePeakMemory(1);
}

TEST_CASE("Peak memory beside 10 endless bodies", "[.memory]")
{
    measurePeakMemory(10);
}

TEST_CASE("Peak memory beside 100 endless bodies", "[.memory]")
{
    measurePeakMemory(100);
}

TEST_CASE("Peak memory beside 400 endless bodies", "[.memory]")
{
    measurePeakMemory(400);
}
