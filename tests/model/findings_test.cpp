#include "model/model.h"

#include <catch2/catch.hpp>

using namespace chervilmount::model;

// Guards against error messages that contain only the first finding.
TEST_CASE("An error reports every finding with its location")
{
    const FindingsError error({{"a.json", "/rate", "-1", "rate is negative", "use 0 or more"},
                               {"a.json", "/burst", "", "burst is missing", "add a number"}});
    const std::string text = error.what();
    CHECK(text.find("a.json#/rate: rate is negative (found -1); use 0 or more")
          != std::string::npos);
    CHECK(text.find("a.json#/burst: burst is missing; add a number") != std::string::npos);
    CHECK(error.findings().size() == 2);
}
