#include "command/commands/commands.h"
#include "command/commands/files.h"
#include "command/commands/publication.h"
#include "command/output/output.h"
#include "model/check/configurationcheck.h"

#include <algorithm>
#include <chrono>
#include <ostream>
#include <string_view>
#include <thread>

namespace chervilmount::command {

namespace {

namespace json = boost::json;

/** Polling interval of `inforce --wait`. */
constexpr std::chrono::milliseconds PollInterval{200};

/** @returns an array field of an object, or nullptr. */
const json::array *arrayField(const json::value &value, std::string_view field)
{
    const json::object *object = value.if_object();
    const json::value *found = object == nullptr ? nullptr : object->if_contains(field);
    return found == nullptr ? nullptr : found->if_array();
}

void printResponse(const PublicationResult &result, bool isJson, const Streams &streams)
{
    if (result.m_response.is_null())
        return;
    const json::array *differences = arrayField(result.m_response, "difference");
    if (isJson)
        printJson(result.m_response, streams);
    else if (result.m_code == ExitCode::Conflict && differences != nullptr)
        streams.m_err << differenceText(*differences);
    else if (result.m_code == ExitCode::Success)
        streams.m_out << toTable(result.m_response);
    else
        streams.m_err << toTable(result.m_response);
}

bool isInForce(const json::value &body)
{
    const json::object *object = body.if_object();
    const json::value *inForce = object == nullptr ? nullptr : object->if_contains("inForce");
    if (inForce == nullptr || !inForce->is_bool())
        throw CommandError(ExitCode::UnexpectedResponse,
                           "the node does not say whether the version is in force");
    return inForce->get_bool();
}

} // namespace

ExitCode publish(const Arguments &arguments, const Streams &streams)
{
    if (!arguments.m_expectedVersion)
        throw CommandError(ExitCode::Usage,
                           "publish needs --expected-version; `configuration` shows the version");
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    const model::LoadedConfiguration loaded =
            model::loadConfiguration(readTexts(arguments.m_parameters));
    for (const model::Finding &note : loaded.m_notes)
        streams.m_err << "note: " << model::toText(note) << "\n";
    const PublicationResult result =
            publishSet(client, loaded.m_configuration, *arguments.m_expectedVersion);
    printResponse(result, arguments.m_json, streams);
    if (result.m_code != ExitCode::Success)
        throw CommandError(result.m_code, result.m_message);
    return ExitCode::Success;
}

ExitCode showInForce(const Arguments &arguments, const Streams &streams)
{
    const std::string &version = arguments.m_parameters[0];
    if (version.find_first_not_of("0123456789") != std::string::npos || version.empty())
        throw CommandError(ExitCode::Usage, "\"" + version + "\" is not a version");
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    const std::chrono::steady_clock::time_point end =
            std::chrono::steady_clock::now() + arguments.m_wait;
    json::value body = client.get("/inforce?version=" + version);
    while (!isInForce(body) && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(PollInterval);
        body = client.get("/inforce?version=" + version);
    }
    print(body, arguments.m_json, streams);
    return isInForce(body) ? ExitCode::Success : ExitCode::NotInForce;
}

} // namespace chervilmount::command
