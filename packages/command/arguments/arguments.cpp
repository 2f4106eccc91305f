#include "command/arguments/arguments.h"

#include "command/arguments/exitcode.h"

#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>

namespace chervilmount::command {

namespace {

constexpr double MaximumSeconds = 86400;

constexpr std::string_view CommandsHelp = R"(
Commands that work on files:
  check FILE...              check a configuration; all findings are reported
  diff --from FILE FILE...   compare two configurations (--from may be repeated)
  digest                     read a key from standard input, print its digest

Commands that need --node:
  diff FILE...               compare the configuration of the node with files
  publish FILE...            publish a configuration; needs --expected-version
  inforce VERSION            show where a version is in force
  configuration              show the configuration of the node
  routes | limits | members | leases
                             show the node's view
  grant ORGANISATION NAME    create a key and print it; needs --digest-key-file
  withdraw NAME              withdraw a key
  drain                      let the node and its backend server leave
  explain REQUEST-ID         show the recorded decisions on a request

Exit codes: 0 success, 1 findings, 2 usage, 3 conflict, 4 unavailable (nothing changed),
5 outcome unknown, 6 not found, 7 file cannot be read or written, 8 unexpected response,
9 not in force everywhere.
)";

/** Variables to which popt writes the options' values. */
struct Targets
{
    int m_help = 0;
    int m_version = 0;
    int m_json = 0;
    char *m_node = nullptr;
    double m_timeoutSeconds = 10;
    int m_waitSeconds = 0;
    char *m_expectedVersion = nullptr;
    char *m_digestKeyFile = nullptr;
    char *m_keyFile = nullptr;
};

constexpr int FromOption = 1;

using OptionTable = std::array<poptOption, 11>;

OptionTable optionTable(Targets &targets)
{
    return {{{"node", 'n', POPT_ARG_STRING, static_cast<void *>(&targets.m_node), 0,
              "operators' interface of a node (IP number and port)", "ADDRESS"},
             {"json", 'j', POPT_ARG_NONE, &targets.m_json, 0, "print JSON in place of tables",
              nullptr},
             {"timeout", 't', POPT_ARG_DOUBLE, &targets.m_timeoutSeconds, 0,
              "time limit of one request to the node (default 10)", "SECONDS"},
             {"expected-version", 'e', POPT_ARG_STRING,
              static_cast<void *>(&targets.m_expectedVersion), 0,
              "publish only if this is the current version", "VERSION"},
             {"wait", 'w', POPT_ARG_INT, &targets.m_waitSeconds, 0,
              "wait until the version is in force everywhere", "SECONDS"},
             {"from", 'f', POPT_ARG_STRING, nullptr, FromOption, "file of the older configuration",
              "FILE"},
             {"digest-key-file", 'd', POPT_ARG_STRING,
              static_cast<void *>(&targets.m_digestKeyFile), 0,
              "file with the deployment's digest key", "FILE"},
             {"key-file", 'k', POPT_ARG_STRING, static_cast<void *>(&targets.m_keyFile), 0,
              "grant the key in this file in place of a random one", "FILE"},
             {"version", 'V', POPT_ARG_NONE, &targets.m_version, 0, "print the version", nullptr},
             {"help", 'h', POPT_ARG_NONE, &targets.m_help, 0, "print this text", nullptr},
             POPT_TABLEEND}};
}

struct FreeContext
{
    void operator()(poptContext_s *context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<poptContext_s, FreeContext>;

/** Moves a string that popt allocated into a std::string. */
std::string takeString(char *text)
{
    const std::unique_ptr<char, decltype(&std::free)> owner(text, &std::free);
    return text == nullptr ? std::string() : std::string(text);
}

std::uint64_t parseVersion(const std::string &text)
{
    const bool isNumber = !text.empty() && text.size() < 20
            && text.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber)
        throw CommandError(ExitCode::Usage, "\"" + text + "\" is not a version; use an integer");
    return std::stoull(text);
}

Arguments readTargets(Targets &targets)
{
    Arguments arguments;
    arguments.m_help = targets.m_help != 0;
    arguments.m_version = targets.m_version != 0;
    arguments.m_json = targets.m_json != 0;
    arguments.m_node = takeString(targets.m_node);
    arguments.m_digestKeyFile = takeString(targets.m_digestKeyFile);
    arguments.m_keyFile = takeString(targets.m_keyFile);
    const std::string version = takeString(targets.m_expectedVersion);
    if (!version.empty())
        arguments.m_expectedVersion = parseVersion(version);
    if (!(targets.m_timeoutSeconds > 0 && targets.m_timeoutSeconds <= MaximumSeconds))
        throw CommandError(ExitCode::Usage, "--timeout must be more than 0 and at most 86400");
    if (targets.m_waitSeconds < 0 || targets.m_waitSeconds > MaximumSeconds)
        throw CommandError(ExitCode::Usage, "--wait must be 0 to 86400");
    arguments.m_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::duration<double>(targets.m_timeoutSeconds));
    arguments.m_wait = std::chrono::seconds(targets.m_waitSeconds);
    return arguments;
}

} // namespace

Arguments parseArguments(int argc, const char **argv)
{
    Targets targets;
    const OptionTable options = optionTable(targets);
    const Context context(
            poptGetContext("chervilmount-ctl", argc, argv, options.data(), POPT_CONTEXT_NO_EXEC));
    std::vector<std::string> from;
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0)
        from.push_back(takeString(poptGetOptArg(context.get())));
    // The targets are read after an error too, so that their strings are freed.
    const std::string badOption = code < -1
            ? std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": "
                    + poptStrerror(code)
            : "";
    Arguments arguments = readTargets(targets);
    if (!badOption.empty())
        throw CommandError(ExitCode::Usage, badOption);
    arguments.m_from = std::move(from);
    const char *parameter = poptGetArg(context.get());
    if (parameter != nullptr)
        arguments.m_command = parameter;
    while ((parameter = poptGetArg(context.get())) != nullptr)
        arguments.m_parameters.emplace_back(parameter);
    return arguments;
}

std::string helpText()
{
    Targets targets;
    const OptionTable options = optionTable(targets);
    std::array<const char *, 2> argv{"chervilmount-ctl", nullptr};
    const Context context(poptGetContext("chervilmount-ctl", 1, argv.data(), options.data(),
                                         POPT_CONTEXT_NO_EXEC));
    poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND [ARGUMENT...]");
    char *buffer = nullptr;
    std::size_t size = 0;
    std::FILE *stream = open_memstream(&buffer, &size);
    if (stream == nullptr)
        return std::string(CommandsHelp);
    poptPrintHelp(context.get(), stream, 0);
    std::fclose(stream);
    return takeString(buffer) + std::string(CommandsHelp);
}

} // namespace chervilmount::command
