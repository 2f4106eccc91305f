#include "command/support.h"
#include "model/support.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace chervilmount::tests;

// Guards against a help text that lacks a command or is printed to the error stream.
TEST_CASE("Help and version are printed")
{
    const CommandResult help = runCommand({"--help"});
    CHECK(help.m_code == 0);
    for (const char *word : {"check", "diff", "publish", "inforce", "routes", "limits", "members",
                             "leases", "configuration", "grant", "withdraw", "drain", "explain",
                             "digest", "--node", "--json", "Exit codes"}) {
        INFO(word);
        CHECK(help.m_out.find(word) != std::string::npos);
    }
    const CommandResult version = runCommand({"--version"});
    CHECK(version.m_code == 0);
    CHECK(version.m_out == "chervilmount-ctl 0.1.0\n");
}

// Guards against wrong command lines that run something or exit with success.
TEST_CASE("Wrong command lines exit with 2 and a message on the error stream")
{
    const std::vector<std::vector<std::string>> lines{
            {},
            {"chek"},
            {"check"},
            {"--colour"},
            {"--timeout", "x", "members"},
            {"--timeout", "0", "members"},
            {"--wait", "-1", "inforce", "1"},
            {"members"},
            {"members", "extra", "--node", "127.0.0.1:1"},
            {"members", "--node", "localhost:80"},
            {"members", "--node", "127.0.0.1"},
            {"members", "--node", "127.0.0.1:0"},
            {"members", "--node", "127.0.0.1:65536"},
            {"inforce", "latest", "--node", "127.0.0.1:1"},
            {"publish", "x.json", "--node", "127.0.0.1:1"},
            {"publish", "x.json", "--node", "127.0.0.1:1", "--expected-version", "-1"},
            {"grant", "abeba", "k", "--node", "127.0.0.1:1"}};
    for (const std::vector<std::string> &line : lines) {
        const CommandResult result = runCommand(line);
        INFO(result.m_err);
        CHECK(result.m_code == 2);
        CHECK(result.m_out.empty());
        CHECK(!result.m_err.empty());
    }
}

// Guards against a check that accepts invalid files or reports only some of the findings.
TEST_CASE("check reports all findings with file and pointer and exits with 1")
{
    const TemporaryFile good(SmallSet);
    const TemporaryFile faulty(
            R"({"keys": [{"name": "a b", "organisation": "x", "digest": "1"}]})");
    const CommandResult result = runCommand({"check", good.path(), faulty.path()});
    CHECK(result.m_code == 1);
    CHECK(result.m_out.empty());
    for (const char *pointer : {"#/keys/0/name: ", "#/keys/0/organisation: ", "#/keys/0/digest: "})
        CHECK(result.m_err.find(faulty.path() + pointer) != std::string::npos);
    CHECK(result.m_err.find("3 findings") != std::string::npos);

    const CommandResult json = runCommand({"check", "--json", good.path(), faulty.path()});
    CHECK(json.m_code == 1);
    CHECK(boost::json::parse(json.m_out).at("findings").as_array().size() == 3);

    const CommandResult accepted = runCommand({"check", good.path()});
    CHECK(accepted.m_code == 0);
    CHECK(accepted.m_err.empty());
    CHECK(accepted.m_out.find("no findings") == 0);
}

// Guards against notes that are lost or that fail the check.
TEST_CASE("check prints notes and exits with 0")
{
    const TemporaryFile good(SmallSet);
    const TemporaryFile noted(R"({"organisations": [{"name": "far", "rate": 1, "burst": 5,
        "servesWithoutProofSeconds": 600}]})");
    const CommandResult result = runCommand({"check", good.path(), noted.path()});
    CHECK(result.m_code == 0);
    CHECK(result.m_out.find("note: " + noted.path() + "#/organisations/0/servesWithoutProofSeconds")
          != std::string::npos);
    const CommandResult json = runCommand({"check", "-j", good.path(), noted.path()});
    CHECK(boost::json::parse(json.m_out).at("notes").as_array().size() == 1);
}

// Guards against a missing file that reads as an empty configuration.
TEST_CASE("Files that cannot be read exit with 7")
{
    const CommandResult result = runCommand({"check", "/nonexistent/set.json"});
    CHECK(result.m_code == 7);
    CHECK(result.m_err.find("/nonexistent/set.json") != std::string::npos);
    CHECK(runCommand({"check", "/"}).m_code == 7);
}

// Guards against a comparison in the wrong direction.
TEST_CASE("diff --from compares files without a node")
{
    boost::json::value changed = boost::json::parse(SmallSet);
    changed.at("organisations").at(0).as_object()["rate"] = 250;
    changed.at("keys").as_array().pop_back();
    const TemporaryFile older(SmallSet);
    const TemporaryFile newer(chervilmount::model::toText(changed));
    const CommandResult result = runCommand({"diff", "--from", older.path(), newer.path()});
    CHECK(result.m_code == 0);
    CHECK(result.m_out.find("changed organisation abeba\n    rate: 100 -> 250\n")
          != std::string::npos);
    CHECK(result.m_out.find("removed key bole-1\n") != std::string::npos);
    CHECK(runCommand({"diff", "--from", older.path(), older.path()}).m_out == "no difference\n");
    const CommandResult json = runCommand({"diff", "--json", "-f", older.path(), newer.path()});
    CHECK(boost::json::parse(json.m_out).at("difference").as_array().size() == 2);
}

// Guards against digests that differ from those that the node computes.
TEST_CASE("digest reads the key from standard input")
{
    const std::string digestKey(40, 'k');
    const TemporaryFile file(digestKey + "\n");
    const CommandResult result =
            runCommand({"digest", "--digest-key-file", file.path()}, "secret\n");
    CHECK(result.m_code == 0);
    CHECK(result.m_out
          == chervilmount::model::toHex(
                     chervilmount::model::KeyDigester(digestKey).digest("secret"))
                  + "\n");
    const TemporaryFile weak("short");
    CHECK(runCommand({"digest", "--digest-key-file", weak.path()}, "secret").m_code == 7);
    CHECK(runCommand({"digest", "--digest-key-file", file.path()}, "").m_code == 2);
}
