#pragma once

#include "model/findings/finding.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Reads the fields of one JSON object and collects findings; unknown fields are findings. */
class SettingsReader
{
public:
    /** @param findings receives the findings; must outlive the reader. */
    SettingsReader(const boost::json::object &object, std::string source, std::string pointer,
                   model::Findings &findings);

    /** Reports the fields that have not been read. */
    void reportUnknown();

    /** Reads a string; a missing one is a finding if required. */
    void read(const char *name, std::string &target, bool required = false);
    /** Reads an "ip:port" string. */
    void readAddress(const char *name, std::string &target, bool required = false);
    void read(const char *name, std::vector<std::string> &target);
    /** Reads an integer from minimum to maximum. */
    void read(const char *name, std::uint64_t &target, std::uint64_t minimum,
              std::uint64_t maximum);
    /** Reads a duration in milliseconds from 1 ms to a day. */
    void read(const char *name, std::chrono::milliseconds &target);
    /** @returns the object in this field; an empty one if it is missing or of another type. */
    const boost::json::object &child(const char *name, bool required = false);

    const std::string &pointer() const { return m_pointer; }
    void report(const char *name, const std::string &problem, const std::string &remedy);

private:
    const boost::json::value *find(const char *name, bool required);

    const boost::json::object &m_object;
    std::string m_source;
    std::string m_pointer;
    model::Findings &m_findings;
    std::vector<std::string> m_known;
};

} // namespace chervilmount::node
