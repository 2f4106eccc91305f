#include "node/settings/settingsreader.h"

#include "adapters/http/httplistener.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chervilmount::node {

namespace {

constexpr std::uint64_t MillisecondsPerDay = 24ULL * 3600 * 1000;

const boost::json::object EmptyObject;

} // namespace

SettingsReader::SettingsReader(const boost::json::object &object, std::string source,
                               std::string pointer, model::Findings &findings)
    : m_object(object)
    , m_source(std::move(source))
    , m_pointer(std::move(pointer))
    , m_findings(findings)
{
}

void SettingsReader::report(const char *name, const std::string &problem, const std::string &remedy)
{
    const boost::json::value *value = m_object.if_contains(name);
    m_findings.push_back({m_source, m_pointer + "/" + name,
                          value == nullptr ? "" : boost::json::serialize(*value), problem, remedy});
}

const boost::json::value *SettingsReader::find(const char *name, bool required)
{
    m_known.emplace_back(name);
    const boost::json::value *value = m_object.if_contains(name);
    if (value == nullptr && required)
        report(name, "missing", "add the field");
    return value;
}

void SettingsReader::reportUnknown()
{
    for (const auto &entry : m_object) {
        const std::string name(entry.key());
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end())
            report(name.c_str(), "unknown field", "remove it or correct its name");
    }
}

void SettingsReader::read(const char *name, std::string &target, bool required)
{
    const boost::json::value *value = find(name, required);
    if (value == nullptr)
        return;
    if (!value->is_string()) {
        report(name, "not a string", "use a JSON string");
        return;
    }
    target = std::string(value->as_string());
}

void SettingsReader::readAddress(const char *name, std::string &target, bool required)
{
    const std::size_t before = m_findings.size();
    read(name, target, required);
    if (m_findings.size() != before || target.empty())
        return;
    try {
        adapters::parseEndpoint(target);
    } catch (const std::invalid_argument &error) {
        report(name, error.what(), "use an IP address and a port, for example 127.0.0.1:7100");
    }
}

void SettingsReader::read(const char *name, std::vector<std::string> &target)
{
    const boost::json::value *value = find(name, false);
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        report(name, "not an array", "use a JSON array of strings");
        return;
    }
    target.clear();
    for (const boost::json::value &item : value->as_array()) {
        if (item.is_string())
            target.emplace_back(item.as_string());
        else
            report(name, "contains an element that is not a string", "use a JSON array of strings");
    }
}

void SettingsReader::read(const char *name, std::uint64_t &target, std::uint64_t minimum,
                          std::uint64_t maximum)
{
    const boost::json::value *value = find(name, false);
    if (value == nullptr)
        return;
    boost::system::error_code error;
    const std::uint64_t number = value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    if (!value->is_number() || error || number < minimum || number > maximum) {
        report(name, "out of range",
               "use a whole number from " + std::to_string(minimum) + " to "
                       + std::to_string(maximum));
        return;
    }
    target = number;
}

void SettingsReader::read(const char *name, std::chrono::milliseconds &target)
{
    std::uint64_t number = static_cast<std::uint64_t>(target.count());
    read(name, number, 1, MillisecondsPerDay);
    target = std::chrono::milliseconds(number);
}

const boost::json::object &SettingsReader::child(const char *name, bool required)
{
    const boost::json::value *value = find(name, required);
    if (value == nullptr)
        return EmptyObject;
    if (!value->is_object()) {
        report(name, "not an object", "use a JSON object");
        return EmptyObject;
    }
    return value->as_object();
}

} // namespace chervilmount::node
