#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

struct NodeParts;

/** Answers a request of the backend server in this node's slot: announcements and nested calls. */
adapters::Task<> handleLocal(NodeParts &parts, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
