#include "node/record/decisionrecorder.h"

#include "node/calls/requestids.h"

namespace chervilmount::node {

namespace {

// About 3 MB at 10 decisions of 150 bytes per request.
constexpr std::size_t MaximumRecordedRequests = 2048;

constexpr std::size_t MaximumDecisionsPerRequest = 64;

} // namespace

DecisionRecorder::DecisionRecorder()
{
    m_metrics.describe("chervilmount_requests_total", "counter",
                       "Requests of callers, by outcome and reason.");
    m_metrics.describe("chervilmount_request_seconds", "histogram",
                       "Time from a caller's request to the end of its response.");
    m_metrics.describe("chervilmount_calls_total", "counter",
                       "Calls to the backend server of this node, by result.");
    m_metrics.describe("chervilmount_backend_seconds", "histogram",
                       "Time that calls hold a slot of the backend server.");
    m_metrics.describe("chervilmount_attempts_total", "counter", "Attempts sent, by number.");
}

void DecisionRecorder::record(const model::RequestId &id, std::string_view category,
                              std::vector<adapters::LogField> fields)
{
    fields.insert(fields.begin(), {"request", toHex(id)});
    adapters::logLine(category, adapters::LogLevel::Info, fields);
    auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        if (m_order.size() >= MaximumRecordedRequests) {
            m_requests.erase(m_order.front());
            m_order.pop_front();
        }
        found = m_requests.emplace(id, std::vector<RecordedDecision>()).first;
        m_order.push_back(id);
    }
    if (found->second.size() < MaximumDecisionsPerRequest) {
        found->second.push_back({std::chrono::system_clock::now(), std::string(category),
                                 adapters::formatFields(fields)});
    }
}

const std::vector<RecordedDecision> *DecisionRecorder::find(const model::RequestId &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

} // namespace chervilmount::node
