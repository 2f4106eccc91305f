#pragma once

#include "model/check/configurationcheck.h"
#include "model/check/formats.h"
#include "model/configuration/objectkind.h"

#include <boost/json/value.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervilmount::model {

/** Checks one configuration and collects the findings. @see checkConfiguration */
class ConfigurationChecker
{
public:
    /** @param set the configuration; must outlive the checker. */
    explicit ConfigurationChecker(const LocatedConfiguration &set);

    /** @returns all findings and notes. */
    CheckResult check();

private:
    using Names = std::unordered_map<std::string_view, std::size_t>;

    /** Location of a value: kind and index of its object and the path to the field in it. */
    struct ValueLocation
    {
        ObjectKind m_kind;
        std::size_t m_index;
        /** For example "/shares/0/fraction". */
        std::string m_path;
    };

    void checkNames();
    void checkServices();
    void checkCallGraph();
    void checkRoutes();
    void checkRoute(std::size_t index);
    void checkOnceOnly(std::size_t index);
    void checkRouteConflicts();
    void checkOrganisations();
    void checkShares(std::size_t index);
    /** Adds a note if the share of the burst of some failure domain is less than one request. */
    void noteSmallBurst(std::size_t index);
    void checkPriorities();
    void checkKeys();

    void report(const ValueLocation &location, const boost::json::value &value, std::string problem,
                std::string remedy);
    void note(const ValueLocation &location, const boost::json::value &value, std::string problem,
              std::string remedy);
    void reportFormat(const ValueLocation &location, std::string_view value,
                      const FormatProblem &problem);
    void reportRange(const ValueLocation &location, const boost::json::value &value,
                     const std::string &remedy);
    /** Reports a reference to an object that does not exist. */
    void checkReference(const ValueLocation &location, std::string_view name, ObjectKind target);
    /** Reports duplicate strings in a list. */
    void checkRepeated(const ValueLocation &location, const std::vector<std::string> &strings);
    Finding finding(const ValueLocation &location, const boost::json::value &value,
                    std::string problem, std::string remedy) const;
    /** @returns "file#pointer" of an object, to name the other object of a conflict. */
    std::string locationText(ObjectKind kind, std::size_t index) const;
    std::string pathText(const std::vector<std::size_t> &services) const;

    const LocatedConfiguration &m_set;
    const Configuration &m_configuration;
    /** Index of the first object of each name, by kind. */
    std::array<Names, ObjectKindCount> m_names;
    CheckResult m_result;
};

} // namespace chervilmount::model
