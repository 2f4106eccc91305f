#include "node/entry/replies.h"

#include "node/calls/requestids.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace chervilmount::node {

adapters::Task<> sendRefusal(adapters::HttpExchange &exchange, RefusalReply refusal,
                             model::RequestId id)
{
    const std::string outcome = refusal.m_notRun ? "not-run" : "unknown";
    adapters::HttpResponseHead head;
    head.m_status = refusal.m_status;
    head.m_fields = {{"Content-Type", "application/json"},
                     {"Chervilmount-Outcome", outcome},
                     {"Chervilmount-Reason", refusal.m_reason},
                     {"Chervilmount-Request-Id", toHex(id)}};
    if (refusal.m_retryAfter.count() > 0) {
        // Retry-After is in whole seconds; rounded up so that callers do not retry too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.m_retryAfter);
        head.m_fields.push_back({"Retry-After", std::to_string(seconds.count())});
        head.m_fields.push_back(
                {"Chervilmount-Retry-After-Ms", std::to_string(refusal.m_retryAfter.count())});
    }
    const std::string body = boost::json::serialize(boost::json::object{
            {"outcome", outcome}, {"reason", refusal.m_reason}, {"requestId", toHex(id)}});
    co_await exchange.respond(head, body);
}

adapters::Task<> sendJson(adapters::HttpExchange &exchange, int status, std::string text)
{
    adapters::HttpResponseHead head;
    head.m_status = status;
    head.m_fields.push_back({"Content-Type", "application/json"});
    co_await exchange.respond(head, text);
}

} // namespace chervilmount::node
