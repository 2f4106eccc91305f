#pragma once

#include "model/configuration/configuration.h"
#include "model/json/objectreader.h"

#include <boost/json/object.hpp>

namespace chervilmount::model {

/** Resolution of rates, bursts and shares. Boost.JSON 1.81 parses some decimal fractions with an
 * error in the last digit; rounding to a fixed step gives every node the same value and hash. */
constexpr double NumberStep = 1e-6;

/** @returns the number rounded to a multiple of NumberStep. */
double roundedToStep(double number);

/** Reads the fields of one object. Ranges are checked by checkConfiguration(). @{ */
void readFields(ObjectReader &reader, FailureDomain &failureDomain);
void readFields(ObjectReader &reader, Priority &priority);
void readFields(ObjectReader &reader, Service &service);
void readFields(ObjectReader &reader, Route &route);
void readFields(ObjectReader &reader, Organisation &organisation);
void readFields(ObjectReader &reader, Key &key);
/** @} */

/** @returns all fields of an object, including those with default values, in a fixed order. @{ */
boost::json::object toJson(const FailureDomain &failureDomain);
boost::json::object toJson(const Priority &priority);
boost::json::object toJson(const Service &service);
boost::json::object toJson(const Route &route);
boost::json::object toJson(const Organisation &organisation);
boost::json::object toJson(const Key &key);
/** @} */

} // namespace chervilmount::model
