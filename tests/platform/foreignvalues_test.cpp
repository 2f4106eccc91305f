#include "platform/policydocument.h"
#include "relay/frames/framecodec.h"
#include "relay/store/noderow.h"

#include "model/findings/findingserror.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <string>

using namespace chervilmount;
using namespace chervilmount::relay;

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();
constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();

template<typename Payload>
Payload sent(const Payload &payload)
{
    std::string bytes;
    appendFrame(payload, bytes);
    const std::optional<Frame> frame = parseFrame(std::string_view(bytes).substr(LengthBytes));
    REQUIRE(frame);
    return std::get<Payload>(*frame);
}

} // namespace

// Guards against costs of call trees that are infinite or no number because one row of the store or
// one node states such observations: requests of that route were turned away everywhere.
TEST_CASE("Implausible observations of other nodes are omitted, the others are used")
{
    const std::string profile =
            R"("profile":{"sound":{"runs":5,"activeSeconds":1,"calls":{"x":2}},
               "large":{"runs":1e308,"activeSeconds":1e308,"calls":{}},
               "calls":{"runs":5,"activeSeconds":1,"calls":{"x":1e300}},
               "negative":{"runs":-5,"activeSeconds":1,"calls":{}}})";
    const std::optional<NodeRow> row = parseNodeRow(
            {"n",
             R"({"address":"127.0.0.1:9","failureDomain":"z","region":"r","startedAtMilliseconds":5,)"
                     + profile + "}"});
    REQUIRE(row);
    CHECK(row->m_profile.size() == 1);
    CHECK(row->m_profile.contains("sound"));

    Status status;
    status.m_profile["sound"] = {5.0, 1.0, {{"x", 2.0}}};
    for (const double odd : {Infinite, -Infinite, NotANumber, -1.0, 1e30})
        status.m_profile["odd" + std::to_string(odd)] = {odd, 1.0, {}};
    status.m_profile["calls"] = {5.0, 1.0, {{"x", Infinite}}};
    status.m_demand["s"] = {Infinite, NotANumber, 3.0};
    const Status received = sent(status);
    CHECK(received.m_profile.size() == 1);
    CHECK(received.m_profile.contains("sound"));
    CHECK(received.m_demand.at("s")[0] == 0.0);
    CHECK(received.m_demand.at("s")[2] == 3.0);
}

// Guards against a bucket of tokens that another node fills without end or makes no number.
TEST_CASE("Tokens from other nodes are a finite amount")
{
    for (const double odd : {Infinite, -Infinite, NotANumber, -1.0}) {
        CHECK(sent(TokenGrant{"o", odd}).m_tokens == 0.0);
        CHECK(sent(TokenRequest{"o", odd}).m_wanted == 0.0);
    }
    CHECK(sent(TokenGrant{"o", 2.5}).m_tokens == 2.5);
}

// Guards against a departure that keeps all later starts of a backend server out of use.
TEST_CASE("Departures from other nodes have a start that is a date")
{
    Hello hello;
    hello.m_departed = {{"sound", std::chrono::hours{24}},
                        {"late", std::chrono::milliseconds::max()},
                        {"early", std::chrono::milliseconds{-1}}};
    hello.m_record.m_departed = hello.m_departed;
    const Hello received = sent(hello);
    CHECK(received.m_departed.size() == 1);
    CHECK(received.m_record.m_departed.size() == 1);
}

// Guards against a backend server with a negative load, which looks like the best one.
TEST_CASE("A load of another node is not negative")
{
    Status status;
    status.m_load.m_limit = -1;
    status.m_load.m_running = -2;
    status.m_load.m_waiting = std::numeric_limits<int>::min();
    const traffic::TargetLoad load = sent(status).m_load;
    CHECK(load.m_limit >= 0);
    CHECK(load.m_running >= 0);
    CHECK(load.m_waiting >= 0);
}

// Guards against time-outs of callers that do not fit into their type, or lie in the past.
TEST_CASE("Time-outs of callers out of range are findings")
{
    const std::string value = GENERATE(as<std::string>(), "1e300", "-1", "-1e300", "\"5\"");
    CAPTURE(value);
    CHECK_THROWS_AS(platform::parsePolicyDocument(
                            R"({"version":"r1","routes":{"columns":[],"rows":[]},
                                "services":{"columns":[],"rows":[]},
                                "limits":{"idle_timeout_s":)"
                            + value + "}}"),
                    model::FindingsError);
}
