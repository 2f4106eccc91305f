#include "command/commands/run.h"

#include "command/commands/commands.h"
#include "model/findings/findingserror.h"
#include "model/findings/findingsjson.h"
#include "model/json/text.h"

#include <boost/json/object.hpp>

#include <array>
#include <cstddef>
#include <exception>
#include <ostream>
#include <string>
#include <string_view>

namespace chervilmount::command {

namespace {

using Command = ExitCode (*)(const Arguments &, const Streams &);

/** A command with the number of arguments it takes. */
struct CommandEntry
{
    std::string_view m_name;
    Command m_command;
    std::size_t m_minimumParameters;
    std::size_t m_maximumParameters;
};

constexpr std::size_t AnyNumber = 1000;

constexpr std::array<CommandEntry, 14> CommandTable{{
        {"check", check, 1, AnyNumber},
        {"diff", compare, 1, AnyNumber},
        {"digest", printDigest, 0, 0},
        {"publish", publish, 1, AnyNumber},
        {"inforce", showInForce, 1, 1},
        {"configuration", showResource, 0, 0},
        {"routes", showResource, 0, 0},
        {"limits", showResource, 0, 0},
        {"members", showResource, 0, 0},
        {"leases", showResource, 0, 0},
        {"grant", grantKey, 2, 2},
        {"withdraw", withdrawKey, 1, 1},
        {"drain", drain, 0, 0},
        {"explain", explain, 1, 1},
}};

ExitCode runCommand(const Arguments &arguments, const Streams &streams)
{
    if (arguments.m_help) {
        streams.m_out << helpText();
        return ExitCode::Success;
    }
    if (arguments.m_version) {
        streams.m_out << "chervilmount-ctl " << CHERVILMOUNT_VERSION << "\n";
        return ExitCode::Success;
    }
    if (arguments.m_command.empty())
        throw CommandError(ExitCode::Usage, "no command; see --help");
    for (const CommandEntry &entry : CommandTable) {
        if (entry.m_name != arguments.m_command)
            continue;
        const std::size_t count = arguments.m_parameters.size();
        if (count < entry.m_minimumParameters || count > entry.m_maximumParameters)
            throw CommandError(ExitCode::Usage,
                               "wrong number of arguments for " + arguments.m_command
                                       + "; see --help");
        return entry.m_command(arguments, streams);
    }
    throw CommandError(ExitCode::Usage,
                       "unknown command \"" + arguments.m_command + "\"; see --help");
}

/** Reports findings as text on the error stream or, with --json, as a document. */
void reportFindings(const model::FindingsError &error, bool isJson, const Streams &streams)
{
    const model::Findings &findings = error.findings();
    if (isJson)
        streams.m_out << model::toText(boost::json::object{{"findings", model::toJson(findings)}},
                                       model::Layout::Indented)
                      << "\n";
    else
        streams.m_err << error.what() << "\n";
    streams.m_err << "chervilmount-ctl: " << findings.size()
                  << (findings.size() == 1 ? " finding\n" : " findings\n");
}

} // namespace

int run(int argc, const char **argv, const Streams &streams)
{
    Arguments arguments;
    ExitCode code = ExitCode::UnexpectedResponse;
    try {
        arguments = parseArguments(argc, argv);
        code = runCommand(arguments, streams);
    } catch (const CommandError &error) {
        streams.m_err << "chervilmount-ctl: " << error.what() << "\n";
        code = error.code();
    } catch (const model::FindingsError &error) {
        reportFindings(error, arguments.m_json, streams);
        code = ExitCode::Findings;
    } catch (const std::exception &error) {
        streams.m_err << "chervilmount-ctl: " << error.what() << "\n";
    }
    streams.m_out.flush();
    if (code == ExitCode::Success && !streams.m_out) {
        streams.m_err << "chervilmount-ctl: the output cannot be written\n";
        code = ExitCode::File;
    }
    return static_cast<int>(code);
}

} // namespace chervilmount::command
