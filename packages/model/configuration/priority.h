#pragma once

#include <string>

namespace chervilmount::model {

/** Number of priority levels; level 0 is the most important. */
constexpr int PriorityLevels = 8;

/** A named priority that routes refer to. */
struct Priority
{
    std::string m_name;
    /** 0 (most important) to PriorityLevels - 1. */
    int m_level = PriorityLevels - 1;
};

} // namespace chervilmount::model
