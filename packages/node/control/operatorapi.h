#pragma once

#include "adapters/http/httpexchange.h"

namespace chervilmount::node {

class Node;

/** Answers a request of the operators' listener. */
adapters::Task<> handleOperator(Node &node, adapters::HttpExchange &exchange);

} // namespace chervilmount::node
