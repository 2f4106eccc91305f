#include "standins/support/programoptions.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

namespace chervilmount::standins {

namespace {

constexpr int UsageError = 2;

} // namespace

std::map<std::string, std::string> readProgramOptions(int argc, const char **argv,
                                                      const std::vector<ProgramOption> &options)
{
    std::vector<poptOption> table;
    int index = 0;
    for (const ProgramOption &option : options) {
        table.push_back(
                {option.m_name, '\0', POPT_ARG_STRING, nullptr, ++index, option.m_help, "VALUE"});
    }
    // POPT_AUTOHELP ends with a comma and cannot be used outside an array initialiser.
    table.push_back(
            {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
    table.push_back(POPT_TABLEEND);

    std::map<std::string, std::string> values;
    for (const ProgramOption &option : options)
        values[option.m_name] = option.m_default;

    const poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
    int result = 0;
    while ((result = poptGetNextOpt(context)) > 0) {
        char *argument = poptGetOptArg(context);
        values[options[static_cast<std::size_t>(result) - 1].m_name] = argument;
        std::free(argument);
    }
    if (result < -1 || poptPeekArg(context) != nullptr) {
        std::fprintf(stderr, "%s: %s\n", argv[0],
                     result < -1 ? poptStrerror(result) : "unexpected argument");
        std::exit(UsageError);
    }
    poptFreeContext(context);
    return values;
}

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

} // namespace chervilmount::standins
