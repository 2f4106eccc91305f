#pragma once

#include "model/findings/finding.h"
#include "model/findings/sourcelocation.h"
#include "model/json/document.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilmount::model {

/** Whether a field must be present. */
enum class Presence {
    Required,
    /** The target keeps its value when the field is absent. */
    Optional
};

/** Smallest and largest accepted value, both included. */
template<typename Number>
struct NumberRange
{
    Number m_minimum = std::numeric_limits<Number>::lowest();
    Number m_maximum = std::numeric_limits<Number>::max();
};

/**
 * Reads the fields of one JSON object into typed variables. Problems are collected as findings and
 * reading continues, so that one pass reports all problems. A target keeps its value when its field
 * is absent or has a finding.
 *
 * Call finish() after the last field to report unknown fields.
 */
class ObjectReader
{
public:
    /**
     * @param value the object; for any other value a single finding is added and all fields are
     * treated as absent.
     * @param location location of the object.
     * @param findings receives the findings; must outlive the reader.
     */
    ObjectReader(const boost::json::value &value, SourceLocation location, Findings &findings);

    /** @returns whether the value is an object. */
    bool isObject() const { return m_object != nullptr; }

    /** @returns whether the object has the field. */
    bool has(std::string_view field) const;

    /** @returns the location of the object. */
    const SourceLocation &location() const { return m_location; }

    void readString(std::string_view field, std::string &target,
                    Presence presence = Presence::Required);
    void readBoolean(std::string_view field, bool &target, Presence presence = Presence::Required);
    void readNumber(std::string_view field, double &target, Presence presence = Presence::Required,
                    NumberRange<double> range = {});
    /** Reads an array of strings. */
    void readStrings(std::string_view field, std::vector<std::string> &target,
                     Presence presence = Presence::Required);

    /** Reads an integer; fractions and values outside of the range are findings. */
    template<std::integral Integer>
    void readInteger(std::string_view field, Integer &target,
                     Presence presence = Presence::Required, NumberRange<Integer> range = {})
    {
        const boost::json::value *value = find(field, presence);
        if (value == nullptr)
            return;
        if (!value->is_int64() && !value->is_uint64())
            return report(field, "not an integer", "use an integer");
        const bool isInRange = value->is_int64()
                ? std::cmp_greater_equal(value->get_int64(), range.m_minimum)
                        && std::cmp_less_equal(value->get_int64(), range.m_maximum)
                : std::cmp_greater_equal(value->get_uint64(), range.m_minimum)
                        && std::cmp_less_equal(value->get_uint64(), range.m_maximum);
        if (!isInRange)
            return report(field, "out of range",
                          "use " + std::to_string(range.m_minimum) + " to "
                                  + std::to_string(range.m_maximum));
        target = value->is_int64() ? static_cast<Integer>(value->get_int64())
                                   : static_cast<Integer>(value->get_uint64());
    }

    /** Reads a duration as an integer count of the target's unit. */
    template<typename Duration>
    void readDuration(std::string_view field, Duration &target,
                      Presence presence = Presence::Required, NumberRange<std::int64_t> range = {})
    {
        std::int64_t count = target.count();
        readInteger(field, count, presence, range);
        target = Duration(count);
    }

    /** Reads a string that must be one of the given choices. */
    template<typename Choice>
    void readChoice(std::string_view field, Choice &target,
                    std::initializer_list<std::pair<std::string_view, Choice>> choices,
                    Presence presence = Presence::Required)
    {
        const boost::json::value *value = find(field, presence);
        if (value == nullptr)
            return;
        std::string words;
        for (const std::pair<std::string_view, Choice> &choice : choices) {
            if (value->is_string() && std::string_view(value->get_string()) == choice.first) {
                target = choice.second;
                return;
            }
            words += (words.empty() ? "\"" : " or \"") + std::string(choice.first) + "\"";
        }
        report(field, "not one of the accepted words", "use " + words);
    }

    /** Reads an object: calls @p read with a reader for it, then finishes that reader. */
    template<typename Read>
    void readObject(std::string_view field, Read read, Presence presence = Presence::Required)
    {
        const boost::json::value *value = find(field, presence);
        if (value == nullptr)
            return;
        ObjectReader reader(*value, locationOf(field), m_findings);
        readWith(reader, read);
    }

    /** Reads an array of objects: calls @p read with a reader for each object, then finishes that
     * reader. */
    template<typename Read>
    void readObjects(std::string_view field, Read read, Presence presence = Presence::Required)
    {
        const boost::json::value *value = find(field, presence);
        if (value == nullptr)
            return;
        const boost::json::array *array = value->if_array();
        if (array == nullptr)
            return report(field, "not an array", "use an array of objects");
        const SourceLocation location = locationOf(field);
        for (std::size_t index = 0; index < array->size(); ++index) {
            ObjectReader reader(
                    (*array)[index],
                    {location.m_source, childPointer(location.m_pointer, std::to_string(index))},
                    m_findings);
            readWith(reader, read);
        }
    }

    /** Adds a finding for a field, for checks beyond the type of the value. */
    void report(std::string_view field, std::string problem, std::string remedy);

    /** Reports all fields of the object that have not been read. */
    void finish();

private:
    template<typename Read>
    static void readWith(ObjectReader &reader, Read &read)
    {
        if (!reader.isObject())
            return;
        read(reader);
        reader.finish();
    }

    const boost::json::value *find(std::string_view field, Presence presence);
    SourceLocation locationOf(std::string_view field) const;

    const boost::json::object *m_object;
    SourceLocation m_location;
    Findings &m_findings;
    std::set<std::string, std::less<>> m_known;
};

} // namespace chervilmount::model
