#include "command/support.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

using namespace chervilmount::tests;
using namespace chervilmount::model;

namespace {

std::vector<std::string> exampleFiles(const std::string &example)
{
    std::vector<std::string> paths;
    for (const char *name : {"domains.json", "organisations.json", "services.json"})
        paths.push_back(sourcePath("examples/" + example + "/" + name));
    return paths;
}

std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

Configuration loadExample(const std::string &example)
{
    std::vector<SourceText> texts;
    for (const std::string &path : exampleFiles(example))
        texts.push_back({path, contentOf(path)});
    return loadConfiguration(texts).m_configuration;
}

CommandResult checkFiles(std::vector<std::string> files)
{
    files.insert(files.begin(), "check");
    return runCommand(files);
}

std::size_t pathDepth(const Configuration &set, const std::string &service)
{
    std::size_t deepest = 0;
    for (const Service &candidate : set.m_services) {
        if (candidate.m_name != service)
            continue;
        for (const std::string &callee : candidate.m_calls)
            deepest = std::max(deepest, pathDepth(set, callee));
    }
    return deepest + 1;
}

std::size_t countRoutes(const Configuration &set, bool (*isCounted)(const Route &))
{
    return static_cast<std::size_t>(
            std::count_if(set.m_routes.begin(), set.m_routes.end(), isCounted));
}

} // namespace

// Guards against examples that fail the check or whose sizes deviate from the design's.
TEST_CASE("The examples pass the check and have the sizes of both deployments")
{
    for (const char *example : {"addis", "halvern"}) {
        INFO(example);
        const CommandResult result = checkFiles(exampleFiles(example));
        CHECK(result.m_code == 0);
        CHECK(result.m_err.empty());
        CHECK(result.m_out.find("note:") == std::string::npos);

        const Configuration set = loadExample(example);
        std::set<std::string> regions;
        for (const FailureDomain &domain : set.m_failureDomains)
            regions.insert(domain.m_region);
        CHECK(set.m_failureDomains.size() == 4);
        CHECK(regions.size() == 2);
        CHECK(set.m_services.size() == 4);
        CHECK(set.m_organisations.size() == 8);
        std::size_t depth = 0;
        for (const Service &service : set.m_services)
            depth = std::max(depth, pathDepth(set, service.m_name));
        CHECK(depth >= 4);
        CHECK(countRoutes(set, [](const Route &route) { return route.m_open; }) >= 1);
        CHECK(countRoutes(
                      set,
                      [](const Route &route) { return route.m_execution == Execution::OnceOnly; })
              >= 1);
        CHECK(countRoutes(set, [](const Route &route) { return route.m_crossRegion; }) >= 1);
    }
}

// Guards against example keys that no request can use.
TEST_CASE("The documented example keys have the digests of the examples")
{
    for (const std::string example : {"addis", "halvern"}) {
        const Configuration set = loadExample(example);
        const std::string digestKeyFile = sourcePath("examples/" + example + "/digest.key");
        CHECK(set.m_keys.size() == set.m_organisations.size());
        for (const Key &key : set.m_keys) {
            const CommandResult result = runCommand({"digest", "--digest-key-file", digestKeyFile},
                                                    key.m_organisation + "-example-key\n");
            CHECK(result.m_out == key.m_digest + "\n");
        }
    }
}

// Guards against kinds of findings that are not reported to the operator.
TEST_CASE("The faulty example reports all of its mistakes at once")
{
    const std::string services = sourcePath("examples/faulty/services.json");
    const std::string organisations = sourcePath("examples/faulty/organisations.json");
    const CommandResult result = checkFiles({organisations, services});
    CHECK(result.m_code == 1);
    const std::vector<std::string> expected{
            organisations + "#/failureDomains/1/name: duplicate",
            organisations + "#/organisations/0/rate: out of range",
            organisations + "#/organisations/1/shares/1/failureDomain: dangling",
            organisations + "#/organisations/1/shares: the base shares sum",
            organisations + "#/organisations/2/brust: unknown field",
            organisations + "#/keys/1/digest: key shared by two organisations",
            services + "#/priorities/1/level: out of range",
            services + "#/services/0/calls: cycle",
            services + "#/services/1/calls/1: dangling",
            services + "#/routes/1/pathPrefix: unreachable",
            services + "#/routes/2/extraAttempts: once-only route with retries",
            services + "#/routes/3/priority: dangling",
            services + "#/routes/3/pathPrefix: path prefix has an empty",
            services + "#/routes/3/timeoutMilliseconds: out of range"};
    for (const std::string &text : expected) {
        INFO(text);
        CHECK(result.m_err.find(text) != std::string::npos);
    }
    CHECK(result.m_err.find("chervilmount-ctl: 14 findings\n") != std::string::npos);
}
