#include "model/check/formats.h"

#include <algorithm>

namespace chervilmount::model {

namespace {

constexpr std::size_t DigestHexDigits = 64;

bool isLower(char character)
{
    return character >= 'a' && character <= 'z';
}

bool isUpper(char character)
{
    return character >= 'A' && character <= 'Z';
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isNameCharacter(char character)
{
    return isLower(character) || isUpper(character) || isDigit(character) || character == '.'
            || character == '_' || character == '-';
}

bool isHostCharacter(char character)
{
    return isLower(character) || isDigit(character) || character == '.' || character == '-';
}

bool isPathCharacter(char character)
{
    return character > ' ' && character < '\x7f' && character != '?' && character != '#'
            && character != '"' && character != '<' && character != '>' && character != '\\';
}

bool hasUnmatchableSegment(std::string_view prefix)
{
    for (std::size_t start = 1; start <= prefix.size();) {
        const std::size_t end = std::min(prefix.find('/', start), prefix.size());
        const std::string_view segment = prefix.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..")
            return true;
        start = end + 1;
    }
    return prefix.back() == '/';
}

} // namespace

FormatProblem checkName(std::string_view name)
{
    const std::string remedy = "use 1 to " + std::to_string(MaximumNameLength)
            + " letters, digits, '.', '_' or '-', beginning with a letter or digit";
    if (name.empty())
        return {"empty name", remedy};
    if (name.size() > MaximumNameLength)
        return {"name too long", remedy};
    if (!std::all_of(name.begin(), name.end(), isNameCharacter)
        || !(isLower(name[0]) || isUpper(name[0]) || isDigit(name[0])))
        return {"name has characters that are not accepted", remedy};
    return {};
}

FormatProblem checkHost(std::string_view host)
{
    const bool isAccepted = !host.empty() && host.size() <= MaximumHostLength
            && std::all_of(host.begin(), host.end(), isHostCharacter) && host.front() != '.'
            && host.back() != '.' && host.find("..") == std::string_view::npos;
    if (isAccepted)
        return {};
    return {"not a host name", "use a lower-case host name without port, or omit it for any host"};
}

FormatProblem checkMethod(std::string_view method)
{
    const bool isAccepted = !method.empty() && method.size() <= MaximumMethodLength
            && std::all_of(method.begin(), method.end(), [](char character) {
                   return isUpper(character) || character == '-' || character == '_';
               });
    if (isAccepted)
        return {};
    return {"not an HTTP method", "use upper-case names such as \"GET\" or \"POST\""};
}

FormatProblem checkPathPrefix(std::string_view prefix)
{
    if (prefix.empty() || prefix.front() != '/')
        return {"path prefix does not begin with '/'", "begin the prefix with '/'"};
    if (prefix.size() > MaximumPathPrefixLength)
        return {"path prefix too long",
                "use at most " + std::to_string(MaximumPathPrefixLength) + " characters"};
    if (!std::all_of(prefix.begin(), prefix.end(), isPathCharacter))
        return {"path prefix has characters that no path of a request has",
                "remove query, fragment, spaces and control characters"};
    if (prefix.size() > 1 && hasUnmatchableSegment(prefix))
        return {"path prefix has an empty or relative segment",
                "remove trailing and double '/' and the segments \".\" and \"..\""};
    return {};
}

FormatProblem checkDigest(std::string_view digest)
{
    const bool isAccepted = digest.size() == DigestHexDigits
            && std::all_of(digest.begin(), digest.end(), [](char character) {
                                return isDigit(character) || (character >= 'a' && character <= 'f');
                            });
    if (isAccepted)
        return {};
    return {"not a digest",
            "use the 64 lower-case hex digits that `chervilmount-ctl digest` prints"};
}

} // namespace chervilmount::model
