#include "adapters/adapters.h"

#include <catch2/catch.hpp>

using namespace chervilmount::adapters;

// Guards against exposition lines that a scraper cannot parse.
TEST_CASE("Metrics are written in the text exposition format")
{
    Metrics metrics;
    metrics.describe("calls_total", "counter", "Calls.");
    metrics.add("calls_total", {{"result", "a \"b\" \\ \n"}}, 2.0);
    metrics.add("calls_total", {{"result", "a \"b\" \\ \n"}});
    metrics.describe("wait_seconds", "histogram", "Waits.");
    metrics.record("wait_seconds", {}, std::chrono::microseconds(1));
    metrics.record("wait_seconds", {}, std::chrono::milliseconds(10));
    metrics.record("wait_seconds", {}, std::chrono::hours(1));
    const std::string text = metrics.text();
    CHECK(text.find("# HELP calls_total Calls.\n# TYPE calls_total counter\n")
          != std::string::npos);
    CHECK(text.find("calls_total{result=\"a \\\"b\\\" \\\\ \\n\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"0.0001\"} 1\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"100\"} 2\n") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_seconds_count 3\n") != std::string::npos);
}

// Guards against log injection by line breaks in values from callers.
TEST_CASE("Log fields are quoted and control characters are replaced")
{
    CHECK(formatFields({{"a", "plain"}, {"b", "two words"}, {"c", "x\ny=\"z\""}, {"d", ""}})
          == "a=plain b=\"two words\" c=\"x?y=\\\"z\\\"\" d=\"\"");
}
