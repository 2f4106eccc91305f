#pragma once

#include "adapters/logging/decisionlog.h"
#include "adapters/metrics/metrics.h"
#include "model/request/requestcontext.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::node {

/** A logged decision about a request. */
struct RecordedDecision
{
    std::chrono::system_clock::time_point m_time;
    std::string m_category;
    std::string m_line;
};

/**
 * Logs each decision about a request and keeps a copy of the most recent ones, which operators can
 * look up. Also owns the metrics of the node.
 */
class DecisionRecorder
{
public:
    DecisionRecorder();

    /** Records one decision. */
    void record(const model::RequestId &id, std::string_view category,
                std::vector<adapters::LogField> fields);

    /** @returns the decisions about a recent request, or nullptr if it is not known. */
    const std::vector<RecordedDecision> *find(const model::RequestId &id) const;

    adapters::Metrics &metrics() { return m_metrics; }

private:
    std::map<model::RequestId, std::vector<RecordedDecision>> m_requests;
    /** Requests in the order of their first decision. */
    std::deque<model::RequestId> m_order;
    adapters::Metrics m_metrics;
};

} // namespace chervilmount::node
