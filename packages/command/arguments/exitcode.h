#pragma once

#include <stdexcept>
#include <string>

namespace chervilmount::command {

/** Exit codes; documented in docs/operators/command-line.md. */
enum class ExitCode {
    Success = 0,
    /** The configuration has findings. */
    Findings = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** The expected version is outdated by another publication. */
    Conflict = 3,
    /** The node did not respond, or cannot perform the command at present; nothing was changed. */
    Unavailable = 4,
    /** A change may or may not have taken effect. */
    OutcomeUnknown = 5,
    /** The named object or request does not exist. */
    NotFound = 6,
    /** A file cannot be read or written. */
    File = 7,
    /** The node's response is malformed or has an unexpected status. */
    UnexpectedResponse = 8,
    /** The version is not in force in every failure domain. */
    NotInForce = 9
};

/** Ends a command with an error message for the operator and an exit code. */
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitCode code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }

    ExitCode code() const { return m_code; }

private:
    ExitCode m_code;
};

} // namespace chervilmount::command
