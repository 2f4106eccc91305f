#pragma once

#include "adapters/http/httpexchange.h"
#include "node/entry/callplan.h"

#include <string>
#include <string_view>

namespace chervilmount::node {

/** Responds with a refusal: outcome, reason, retry delay and request id. */
adapters::Task<> sendRefusal(adapters::HttpExchange &exchange, RefusalReply refusal,
                             model::RequestId id);

/** Responds with a JSON document. */
adapters::Task<> sendJson(adapters::HttpExchange &exchange, int status, std::string text);

} // namespace chervilmount::node
