#include "model/parsing/objectfields.h"

#include <boost/json/array.hpp>

#include <cmath>

namespace chervilmount::model {

namespace {

namespace json = boost::json;

// Integers up to this size are exact in a double.
constexpr double LargestExactInteger = 9007199254740992.0;

json::value numberValue(double number)
{
    const double rounded = roundedToStep(number);
    if (std::trunc(rounded) == rounded && std::abs(rounded) < LargestExactInteger)
        return static_cast<std::int64_t>(rounded);
    return rounded;
}

json::array stringsValue(const std::vector<std::string> &strings)
{
    json::array array;
    for (const std::string &string : strings)
        array.emplace_back(string);
    return array;
}

void readRounded(ObjectReader &reader, std::string_view field, double &target)
{
    reader.readNumber(field, target);
    target = roundedToStep(target);
}

} // namespace

double roundedToStep(double number)
{
    constexpr double StepsPerUnit = 1 / NumberStep;
    const double steps = std::round(number * StepsPerUnit);
    // Doubles beyond this size have no fractional part.
    if (!(std::abs(steps) < LargestExactInteger))
        return number;
    return steps / StepsPerUnit;
}

void readFields(ObjectReader &reader, FailureDomain &failureDomain)
{
    reader.readString("name", failureDomain.m_name);
    reader.readString("region", failureDomain.m_region);
}

void readFields(ObjectReader &reader, Priority &priority)
{
    reader.readString("name", priority.m_name);
    reader.readInteger("level", priority.m_level);
}

void readFields(ObjectReader &reader, Service &service)
{
    reader.readString("name", service.m_name);
    reader.readStrings("calls", service.m_calls, Presence::Optional);
}

void readFields(ObjectReader &reader, Route &route)
{
    reader.readString("name", route.m_name);
    reader.readString("service", route.m_service);
    reader.readString("host", route.m_host, Presence::Optional);
    reader.readStrings("methods", route.m_methods, Presence::Optional);
    reader.readString("pathPrefix", route.m_pathPrefix);
    reader.readChoice("execution", route.m_execution,
                      {{"idempotent", Execution::Idempotent}, {"onceOnly", Execution::OnceOnly}});
    reader.readBoolean("open", route.m_open, Presence::Optional);
    reader.readString("priority", route.m_priority);
    reader.readDuration("timeoutMilliseconds", route.m_timeout, Presence::Optional);
    reader.readInteger("extraAttempts", route.m_extraAttempts, Presence::Optional);
    reader.readBoolean("crossRegion", route.m_crossRegion, Presence::Optional);
    reader.readInteger("maximumBodyBytes", route.m_maximumBodyBytes, Presence::Optional);
}

void readFields(ObjectReader &reader, Organisation &organisation)
{
    reader.readString("name", organisation.m_name);
    readRounded(reader, "rate", organisation.m_rate);
    readRounded(reader, "burst", organisation.m_burst);
    reader.readObjects(
            "shares",
            [&organisation](ObjectReader &share) {
                BaseShare &target = organisation.m_shares.emplace_back();
                share.readString("failureDomain", target.m_failureDomain);
                readRounded(share, "fraction", target.m_fraction);
            },
            Presence::Optional);
    reader.readDuration("servesWithoutProofSeconds", organisation.m_servesWithoutProof,
                        Presence::Optional);
}

void readFields(ObjectReader &reader, Key &key)
{
    reader.readString("name", key.m_name);
    reader.readString("organisation", key.m_organisation);
    reader.readString("digest", key.m_digest);
}

json::object toJson(const FailureDomain &failureDomain)
{
    return {{"name", failureDomain.m_name}, {"region", failureDomain.m_region}};
}

json::object toJson(const Priority &priority)
{
    return {{"name", priority.m_name}, {"level", priority.m_level}};
}

json::object toJson(const Service &service)
{
    return {{"name", service.m_name}, {"calls", stringsValue(service.m_calls)}};
}

json::object toJson(const Route &route)
{
    return {{"name", route.m_name},
            {"service", route.m_service},
            {"host", route.m_host},
            {"methods", stringsValue(route.m_methods)},
            {"pathPrefix", route.m_pathPrefix},
            {"execution", route.m_execution == Execution::OnceOnly ? "onceOnly" : "idempotent"},
            {"open", route.m_open},
            {"priority", route.m_priority},
            {"timeoutMilliseconds", route.m_timeout.count()},
            {"extraAttempts", route.m_extraAttempts},
            {"crossRegion", route.m_crossRegion},
            {"maximumBodyBytes", route.m_maximumBodyBytes}};
}

json::object toJson(const Organisation &organisation)
{
    json::array shares;
    for (const BaseShare &share : organisation.m_shares)
        shares.push_back(json::object{{"failureDomain", share.m_failureDomain},
                                      {"fraction", numberValue(share.m_fraction)}});
    return {{"name", organisation.m_name},
            {"rate", numberValue(organisation.m_rate)},
            {"burst", numberValue(organisation.m_burst)},
            {"shares", std::move(shares)},
            {"servesWithoutProofSeconds", organisation.m_servesWithoutProof.count()}};
}

json::object toJson(const Key &key)
{
    return {{"name", key.m_name}, {"organisation", key.m_organisation}, {"digest", key.m_digest}};
}

} // namespace chervilmount::model
