#pragma once

#include "model/findings/finding.h"

#include <boost/json/array.hpp>

namespace chervilmount::model {

/** @returns the findings as objects with source, pointer, value, problem and remedy. */
boost::json::array toJson(const Findings &findings);

} // namespace chervilmount::model
