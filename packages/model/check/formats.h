#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace chervilmount::model {

/** Longest name of an object. Names become parts of row names and metric labels. */
constexpr std::size_t MaximumNameLength = 64;
/** Longest host name that DNS allows. */
constexpr std::size_t MaximumHostLength = 253;
/** Longest path prefix of a route. */
constexpr std::size_t MaximumPathPrefixLength = 1024;
/** Longest method name of a route. */
constexpr std::size_t MaximumMethodLength = 32;

/** A problem of a value and what would be accepted instead; empty if the value is valid. */
struct FormatProblem
{
    std::string m_problem;
    std::string m_remedy;

    bool isEmpty() const { return m_problem.empty(); }
};

/** Accepts letters, digits, '.', '_' and '-', beginning with a letter or digit. Names are parts of
 * row names such as "claims/<organisation>/<hash>" and must not contain the separator '/'. */
FormatProblem checkName(std::string_view name);

/** Accepts a lower-case host name without port. */
FormatProblem checkHost(std::string_view host);

/** Accepts an upper-case HTTP method. */
FormatProblem checkMethod(std::string_view method);

/** Accepts a prefix that can match the path of a request: "/" or segments without trailing '/',
 * without query, and without empty or relative segments. */
FormatProblem checkPathPrefix(std::string_view prefix);

/** Accepts 64 lower-case hex digits. */
FormatProblem checkDigest(std::string_view digest);

} // namespace chervilmount::model
