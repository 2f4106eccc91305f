#include "command/support.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace chervilmount::tests;
using chervilmount::command::HttpRequest;
using chervilmount::command::HttpResponse;

namespace {

/** A node that gives every request the same response. */
FakeNode::Handler always(unsigned status, const std::string &body)
{
    return [status, body](const HttpRequest &) { return HttpResponse{status, body}; };
}

CommandResult runWith(const FakeNode &node, std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--node", node.address(), "--timeout", "20"});
    return runCommand(arguments);
}

} // namespace

// Guards against commands that request a resource other than the one they are named after.
TEST_CASE("show commands read their resource and print a table or JSON")
{
    const std::string body = R"({"version": 3, "leases": [
        {"name": "configuration", "holder": "addis-1/10.0.0.1", "epoch": 2},
        {"name": "rates/addis-1/0", "epoch": 17}]})";
    const FakeNode node(always(200, body));
    for (const char *name : {"leases", "routes", "limits", "members", "configuration"}) {
        const CommandResult result = runWith(node, {name});
        CHECK(result.m_code == 0);
        CHECK(node.requests().back().m_target == "/operators/" + std::string(name));
        CHECK(node.requests().back().m_method == "GET");
    }
    CHECK(runWith(node, {"leases"}).m_out
          == "version  3\n"
             "\n"
             "leases:\n"
             "name             holder            epoch\n"
             "configuration    addis-1/10.0.0.1  2\n"
             "rates/addis-1/0  -                 17\n");
    CHECK(boost::json::parse(runWith(node, {"leases", "--json"}).m_out)
          == boost::json::parse(body));
}

// Guards against text from callers that changes the operator's terminal.
TEST_CASE("Tables contain no control characters")
{
    const FakeNode node(always(200, R"({"a": "x\u001b[2Jy", "b": [{"c": "1\n2"}]})"));
    const CommandResult result = runWith(node, {"members"});
    CHECK(result.m_out == "a  x?[2Jy\n\nb:\nc\n1?2\n");
}

// Guards against request identifiers that change the path, and against success for an unknown one.
TEST_CASE("explain requests the decisions by the request's identifier")
{
    const FakeNode node([](const HttpRequest &request) {
        if (request.m_target == "/operators/requests/00ff")
            return HttpResponse{200, R"({"decisions": [{"step": "route", "result": "slips"}]})"};
        return HttpResponse{404, R"({"reason": "unknown request"})"};
    });
    const CommandResult known = runWith(node, {"explain", "00ff"});
    CHECK(known.m_code == 0);
    CHECK(known.m_out == "decisions:\nstep   result\nroute  slips\n");
    const CommandResult unknown = runWith(node, {"explain", "../drain?x"});
    CHECK(unknown.m_code == 6);
    CHECK(unknown.m_err.find("unknown request") != std::string::npos);
    CHECK(node.requests().back().m_target == "/operators/requests/..%2Fdrain%3Fx");
}

// Guards against failures of the node that exit with success or hang.
TEST_CASE("Failures of the node have their own exit codes")
{
    const FakeNode broken(always(200, "not JSON"));
    CHECK(runWith(broken, {"members"}).m_code == 8);
    const FakeNode failing(always(500, R"({"reason": "x"})"));
    CHECK(runWith(failing, {"members"}).m_code == 8);
    const FakeNode away(always(503, R"({"reason": "no valid configuration"})"));
    const CommandResult unavailable = runWith(away, {"members"});
    CHECK(unavailable.m_code == 4);
    CHECK(unavailable.m_err.find("no valid configuration") != std::string::npos);
    const FakeNode closing(always(CloseConnection, ""));
    CHECK(runWith(closing, {"members"}).m_code == 4);
    std::string address;
    {
        const FakeNode gone(always(200, "{}"));
        address = gone.address();
    }
    CHECK(runCommand({"members", "--node", address}).m_code == 4);
}

// Guards against a command without a timeout, and against a lost response to a change that is
// reported as "nothing changed".
TEST_CASE("A silent node ends the command after the time limit")
{
    const FakeNode node(always(NoResponse, ""));
    const auto runBriefly = [&node](const std::string &command) {
        return runCommand({command, "--node", node.address(), "--timeout", "0.2"});
    };
    CHECK(runBriefly("members").m_code == 4);
    CHECK(runBriefly("drain").m_code == 5);
}

// Guards against a drain command that only reads.
TEST_CASE("drain posts to the node")
{
    const FakeNode node(always(200, R"({"outcome": "leaving"})"));
    CHECK(runWith(node, {"drain"}).m_out == "outcome  leaving\n");
    CHECK(node.requests().back().m_method == "POST");
    CHECK(node.requests().back().m_target == "/operators/drain");
    const FakeNode empty(always(202, ""));
    CHECK(runWith(empty, {"drain"}).m_code == 0);
    const FakeNode refusing(always(409, R"({"reason": "leaving already"})"));
    CHECK(runWith(refusing, {"drain"}).m_code == 8);
}

// Guards against a wait that ends too early or never.
TEST_CASE("inforce waits until the version is in force everywhere")
{
    int remaining = 2;
    const FakeNode node([&remaining](const HttpRequest &) {
        const bool isInForce = remaining-- <= 0;
        return HttpResponse{200,
                            std::string(R"({"version": 7, "inForce": )")
                                    + (isInForce ? "true" : "false")
                                    + R"(, "failureDomains": [{"failureDomain": "addis-1",
                                        "state": "confirmed"}]})"};
    });
    CHECK(runWith(node, {"inforce", "7"}).m_code == 9);
    const CommandResult result = runWith(node, {"inforce", "7", "--wait", "60"});
    CHECK(result.m_code == 0);
    CHECK(result.m_out.find("addis-1        confirmed") != std::string::npos);
    for (const HttpRequest &request : node.requests())
        CHECK(request.m_target == "/operators/inforce?version=7");
}
