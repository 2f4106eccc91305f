#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Handles a request on the operators' listener. */
adapters::Task<> handleOperator(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
