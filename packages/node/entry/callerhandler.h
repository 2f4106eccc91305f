#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Handles a request on the callers' listener. */
adapters::Task<> handleCaller(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
