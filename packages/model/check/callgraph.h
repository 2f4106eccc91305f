#pragma once

#include "model/configuration/service.h"

#include <cstddef>
#include <vector>

namespace chervilmount::model {

/** Problems of the graph of service calls. Services are identified by their index. */
struct CallGraphProblems
{
    /** Each cycle as a path of calls; the last service calls the first one. One cycle is reported
     * for each strongly connected component. */
    std::vector<std::vector<std::size_t>> m_cycles;
    /** The longest path from each service that no other service calls, where it is longer than
     * MaximumPathDepth. */
    std::vector<std::vector<std::size_t>> m_longPaths;
};

/** Finds cycles and paths that are too long. Calls to unknown services are ignored. */
CallGraphProblems findCallGraphProblems(const std::vector<Service> &services);

} // namespace chervilmount::model
