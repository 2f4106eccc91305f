#pragma once

#include "model/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::tests {

/** A small valid configuration. */
constexpr const char *SmallSet = R"({
    "failureDomains": [{"name": "addis-1", "region": "addis"}, {"name": "dire-1", "region": "dire"}],
    "priorities": [{"name": "normal", "level": 4}, {"name": "urgent", "level": 1}],
    "services": [{"name": "slipdesk", "calls": ["staffrolls"]}, {"name": "staffrolls"}],
    "routes": [
        {"name": "slips", "service": "slipdesk", "methods": ["GET"], "pathPrefix": "/slips",
         "execution": "idempotent", "priority": "normal"},
        {"name": "health", "service": "slipdesk", "pathPrefix": "/status",
         "execution": "idempotent", "open": true, "priority": "normal"},
        {"name": "prints", "service": "slipdesk", "methods": ["POST"], "pathPrefix": "/prints",
         "execution": "onceOnly", "extraAttempts": 0, "priority": "urgent"}],
    "organisations": [
        {"name": "abeba", "rate": 100, "burst": 50},
        {"name": "bole", "rate": 10, "burst": 5,
         "shares": [{"failureDomain": "addis-1", "fraction": 0.75},
                    {"failureDomain": "dire-1", "fraction": 0.25}]}],
    "keys": [
        {"name": "abeba-1", "organisation": "abeba",
         "digest": "1111111111111111111111111111111111111111111111111111111111111111"},
        {"name": "bole-1", "organisation": "bole",
         "digest": "2222222222222222222222222222222222222222222222222222222222222222"}]})";

/** @returns the findings of parsing the texts, without checking the configuration as a whole. */
model::Findings findingsOf(const std::vector<model::SourceText> &texts);

/** @returns whether a finding has the source and pointer and contains the text in its problem. */
bool hasFinding(const model::Findings &findings, std::string_view source, std::string_view pointer,
                std::string_view problem);

} // namespace chervilmount::tests
