#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Handles a request of this node's backend server: an announcement or a nested call. */
adapters::Task<> handleLocal(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
