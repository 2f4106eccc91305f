#pragma once

#include <iosfwd>

namespace chervilmount::command {

/** The standard streams of a command. */
struct Streams
{
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
};

/** Runs one command line. @returns the exit code of the process. @see ExitCode */
int run(int argc, const char **argv, const Streams &streams);

} // namespace chervilmount::command
