#include "command/support.h"
#include "model/support.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace chervilmount::tests;
using chervilmount::command::HttpRequest;
using chervilmount::command::HttpResponse;
using chervilmount::model::Configuration;
using chervilmount::model::configurationHash;
using chervilmount::model::Key;
using chervilmount::model::KeyDigester;
using chervilmount::model::parseConfiguration;
using chervilmount::model::toHex;

namespace {

const std::string DigestKey(32, 'd');

Configuration smallSet()
{
    return parseConfiguration({{"set.json", SmallSet}});
}

FakeNode::Handler answersOf(PublishingNode &node)
{
    return [&node](const HttpRequest &request) { return node.handle(request); };
}

CommandResult publish(const FakeNode &node, const std::string &file, const std::string &version)
{
    return runCommand({"publish", file, "--node", node.address(), "--expected-version", version});
}

std::size_t countPosts(const FakeNode &node)
{
    const std::vector<HttpRequest> requests = node.requests();
    return static_cast<std::size_t>(
            std::count_if(requests.begin(), requests.end(),
                          [](const HttpRequest &request) { return request.m_method == "POST"; }));
}

} // namespace

// Guards against a published set that differs from the files.
TEST_CASE("publish sends the whole set with the expected version")
{
    PublishingNode state({}, 4);
    const FakeNode node(answersOf(state));
    const TemporaryFile file(SmallSet);
    const CommandResult result = publish(node, file.path(), "4");
    CHECK(result.m_code == 0);
    CHECK(result.m_out == "outcome  accepted\nversion  5\n");
    CHECK(state.held().version().m_hash == configurationHash(smallSet()));
}

// Guards against a second operator who silently overwrites the first.
TEST_CASE("publish reports a conflict with its difference and exits with 3")
{
    PublishingNode state(smallSet(), 9);
    const FakeNode node(answersOf(state));
    boost::json::value changed = boost::json::parse(SmallSet);
    changed.at("organisations").at(0).as_object()["rate"] = 7;
    const TemporaryFile file(chervilmount::model::toText(changed));
    const CommandResult result = publish(node, file.path(), "8");
    CHECK(result.m_code == 3);
    CHECK(result.m_err.find("rate: 100 -> 7") != std::string::npos);
    CHECK(result.m_err.find("current version is 9") != std::string::npos);
    CHECK(state.held().version().m_version == 9);
}

// Guards against invalid sets that are sent to the fleet.
TEST_CASE("publish checks the set before it contacts the node")
{
    PublishingNode state({}, 0);
    const FakeNode node(answersOf(state));
    const TemporaryFile file(R"({"keys": [{"name": "k", "organisation": "x", "digest": "1"}]})");
    CHECK(publish(node, file.path(), "0").m_code == 1);
    CHECK(node.requests().empty());
}

// Guards against findings of the node that are not shown.
TEST_CASE("publish shows the findings of the node and exits with 1")
{
    const FakeNode node([](const HttpRequest &) {
        return HttpResponse{422, R"({"outcome": "invalid", "findings": [{"source": "body",
            "pointer": "/routes/0", "value": "", "problem": "too new", "remedy": "wait"}]})"};
    });
    const TemporaryFile file(SmallSet);
    const CommandResult result = publish(node, file.path(), "0");
    CHECK(result.m_code == 1);
    CHECK(result.m_err.find("too new") != std::string::npos);
}

// Guards against an unknown outcome that is reported as success or failure, and the reverse.
TEST_CASE("publish resolves an unknown outcome by the node's configuration")
{
    const TemporaryFile file(SmallSet);
    for (const bool isApplied : {true, false}) {
        for (const unsigned status : {503U, CloseConnection}) {
            PublishingNode state({}, 2);
            const FakeNode node([&](const HttpRequest &request) {
                if (request.m_method == "GET")
                    return state.handle(request);
                if (isApplied)
                    state.handle(request);
                return HttpResponse{status,
                                    R"({"outcome": "unknown", "reason": "no answer from store"})"};
            });
            const CommandResult result = publish(node, file.path(), "2");
            CHECK(result.m_code == (isApplied ? 0 : 5));
            CHECK(countPosts(node) == 1);
        }
    }
}

// Guards against confusion of "nothing changed" and "outcome unknown".
TEST_CASE("publish exits with 4 if the node cannot publish")
{
    const FakeNode node([](const HttpRequest &) {
        return HttpResponse{503, R"({"outcome": "unavailable", "reason": "store is down"})"};
    });
    const TemporaryFile file(SmallSet);
    const CommandResult result = publish(node, file.path(), "0");
    CHECK(result.m_code == 4);
    CHECK(result.m_err.find("store is down") != std::string::npos);
}

// Guards against keys in clear text in the set, and against a printed key that does not work.
TEST_CASE("grant prints a key whose digest is in the published set")
{
    PublishingNode state(smallSet(), 1);
    const FakeNode node(answersOf(state));
    const TemporaryFile digestKey(DigestKey);
    const CommandResult result = runCommand({"grant", "abeba", "abeba-2", "--node", node.address(),
                                             "--digest-key-file", digestKey.path(), "--json"});
    REQUIRE(result.m_code == 0);
    const boost::json::value printed = boost::json::parse(result.m_out);
    const std::string key(std::string_view(printed.at("key").as_string()));
    CHECK(key.size() == 64);
    CHECK(printed.at("version") == 2);
    const Configuration &set = state.held().configuration();
    REQUIRE(set.m_keys.size() == 3);
    CHECK(set.m_keys[1].m_name == "abeba-2");
    CHECK(set.m_keys[1].m_digest == toHex(KeyDigester(DigestKey).digest(key)));
    for (const HttpRequest &request : node.requests())
        CHECK(request.m_body.find(key) == std::string::npos);
}

// Guards against a key of one organisation that is granted to another one as well.
TEST_CASE("grant refuses keys that are shared, duplicate names and unknown organisations")
{
    PublishingNode state(smallSet(), 1);
    const FakeNode node(answersOf(state));
    const TemporaryFile digestKey(DigestKey);
    const TemporaryFile key("an existing key\n");
    const auto grant = [&](const std::string &organisation, const std::string &name) {
        return runCommand({"grant", organisation, name, "--node", node.address(),
                           "--digest-key-file", digestKey.path(), "--key-file", key.path()});
    };
    const CommandResult first = grant("abeba", "abeba-2");
    CHECK(first.m_code == 0);
    CHECK(first.m_out.find("an existing key") == std::string::npos);
    const CommandResult shared = grant("bole", "bole-2");
    CHECK(shared.m_code == 1);
    CHECK(shared.m_err.find("shared by two organisations") != std::string::npos);
    CHECK(grant("bole", "bole-1").m_code == 1);
    CHECK(grant("nobody", "nobody-1").m_code == 6);
    CHECK(state.held().version().m_version == 2);
}

// Guards against a race of two publications that loses a withdrawal or reverts another operator's
// change.
TEST_CASE("withdraw applies its change again after a conflict")
{
    PublishingNode state(smallSet(), 1);
    bool hasRaced = false;
    const FakeNode node([&](const HttpRequest &request) {
        if (request.m_method == "POST" && !hasRaced) {
            hasRaced = true;
            Configuration other = state.held().configuration();
            other.m_organisations[0].m_rate = 42;
            state.publish(other);
        }
        return state.handle(request);
    });
    const CommandResult result = runCommand({"withdraw", "bole-1", "--node", node.address()});
    CHECK(result.m_code == 0);
    CHECK(result.m_out == "name     bole-1\nversion  3\n");
    CHECK(countPosts(node) == 2);
    REQUIRE(state.held().configuration().m_keys.size() == 1);
    CHECK(state.held().configuration().m_keys[0].m_name == "abeba-1");
    CHECK(state.held().configuration().m_organisations[0].m_rate == 42);
    CHECK(runCommand({"withdraw", "bole-1", "--node", node.address()}).m_code == 6);
}

// Guards against a partially read set whose rest is deleted by the next publication.
TEST_CASE("Changes are refused if the node's set cannot be parsed completely")
{
    const TemporaryFile digestKey(DigestKey);
    const std::string set = chervilmount::model::canonicalText(smallSet());
    const std::string hash = toHex(configurationHash(smallSet()));
    for (const std::string &body :
         {R"({"version": 1, "hash": ")" + hash + R"(", "set": {"newSection": []}})",
          R"({"version": 1, "hash": ")" + std::string(64, '0') + R"(", "set": )" + set + "}",
          R"({"version": 1, "hash": ")" + hash + R"("})", std::string("[]")}) {
        const FakeNode node([&body](const HttpRequest &) { return HttpResponse{200, body}; });
        INFO(body);
        CHECK(runCommand({"withdraw", "bole-1", "--node", node.address()}).m_code == 8);
        CHECK(countPosts(node) == 0);
    }
}

// Guards against a comparison with the node in the wrong direction.
TEST_CASE("diff compares the node's set with files")
{
    PublishingNode state(smallSet(), 1);
    const FakeNode node(answersOf(state));
    boost::json::value changed = boost::json::parse(SmallSet);
    changed.at("keys").as_array().pop_back();
    const TemporaryFile file(chervilmount::model::toText(changed));
    const CommandResult result = runCommand({"diff", file.path(), "--node", node.address()});
    CHECK(result.m_code == 0);
    CHECK(result.m_out.find("removed key bole-1\n") == 0);
}
