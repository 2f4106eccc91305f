#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Answers a request of the callers' listener. */
adapters::Task<> handleCaller(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
