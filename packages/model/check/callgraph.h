#pragma once

#include "model/configuration/service.h"

#include <cstddef>
#include <vector>

namespace chervilmount::model {

/** What is wrong with the graph of service calls. Services are given by their index. */
struct CallGraphProblems
{
    /** Each cycle as the path of calls; the last service calls the first one again. Services that
     * are in several cycles with each other are reported with one of these cycles. */
    std::vector<std::vector<std::size_t>> m_cycles;
    /** The longest path from each service that no other service calls, where it is longer than
     * MaximumPathDepth. */
    std::vector<std::vector<std::size_t>> m_longPaths;
};

/** Searches the graph of calls. Calls to unknown services are ignored here. */
CallGraphProblems findCallGraphProblems(const std::vector<Service> &services);

} // namespace chervilmount::model
