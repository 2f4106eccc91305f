#pragma once

#include "command/arguments/arguments.h"
#include "command/arguments/exitcode.h"
#include "command/commands/run.h"

namespace chervilmount::command {

/** The commands. Each takes the parsed command line, writes its result and returns the exit code.
 * @throws CommandError or model::FindingsError, which run() reports. @{ */
ExitCode check(const Arguments &arguments, const Streams &streams);
ExitCode compare(const Arguments &arguments, const Streams &streams);
ExitCode printDigest(const Arguments &arguments, const Streams &streams);
ExitCode publish(const Arguments &arguments, const Streams &streams);
ExitCode showInForce(const Arguments &arguments, const Streams &streams);
ExitCode grantKey(const Arguments &arguments, const Streams &streams);
ExitCode withdrawKey(const Arguments &arguments, const Streams &streams);
/** Shows the resource below /operators that has the name of the command. */
ExitCode showResource(const Arguments &arguments, const Streams &streams);
ExitCode drain(const Arguments &arguments, const Streams &streams);
ExitCode explain(const Arguments &arguments, const Streams &streams);
/** @} */

} // namespace chervilmount::command
