#pragma once

#include <map>
#include <string>
#include <vector>

namespace chervilmount::standins {

/** A command-line option that takes a value. */
struct ProgramOption
{
    const char *m_name;
    const char *m_help;
    /** Value if the option is not given. */
    std::string m_default;
};

/**
 * Reads the command line with popt; prints help or errors and exits the process if necessary.
 * @returns the value of each option by its name
 */
std::map<std::string, std::string> readProgramOptions(int argc, const char **argv,
                                                      const std::vector<ProgramOption> &options);

/** Splits at commas; an empty text yields an empty list. */
std::vector<std::string> splitAtCommas(const std::string &text);

} // namespace chervilmount::standins
