#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Answers a request of the operators' listener. */
adapters::Task<> handleOperator(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
