#pragma once

#include "model/findings/finding.h"
#include "node/record/decisionrecorder.h"

#include <boost/json/array.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::node {

struct NodeParts;

/** @returns whether the node can serve: its configuration is proven to be current and the node is
 * not shutting down. */
bool isReady(const NodeParts &parts);

/** @returns findings as JSON. */
boost::json::array findingsJson(const model::Findings &findings);

/** Each returns a JSON text for operators. @{ */
/** Version, hash and content of the configuration in force; empty if there is none. */
std::string configurationView(const NodeParts &parts);
std::string membersView(const NodeParts &parts);
std::string limitsView(const NodeParts &parts);
std::string routesView(const NodeParts &parts);
/** The leases that this node holds, is a candidate for or is named in as a successor, according to
 * its last read of their rows. */
std::string leasesView(const NodeParts &parts, std::chrono::steady_clock::time_point now);
std::string requestView(const std::string &id, const std::vector<RecordedDecision> &decisions);
/** @} */

/** Updates the gauges and returns all metrics in the text exposition format. */
std::string metricsText(NodeParts &parts);

} // namespace chervilmount::node
