#include "command/commands/commands.h"
#include "command/http/operatorsclient.h"
#include "command/output/output.h"

#include <boost/json/object.hpp>

namespace chervilmount::command {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusNoContent = 204;

} // namespace

ExitCode showResource(const Arguments &arguments, const Streams &streams)
{
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    print(client.get("/" + arguments.m_command), arguments.m_json, streams);
    return ExitCode::Success;
}

ExitCode drain(const Arguments &arguments, const Streams &streams)
{
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    const JsonResponse response = client.post("/drain", "");
    if (response.m_status != StatusOk && response.m_status != StatusAccepted
        && response.m_status != StatusNoContent)
        throw unexpectedStatus(response);
    print(response.m_body.is_null() ? boost::json::object{{"outcome", "leaving"}} : response.m_body,
          arguments.m_json, streams);
    return ExitCode::Success;
}

ExitCode explain(const Arguments &arguments, const Streams &streams)
{
    const OperatorsClient client(arguments.m_node, arguments.m_timeout);
    print(client.get("/requests/" + percentEncoded(arguments.m_parameters[0])), arguments.m_json,
          streams);
    return ExitCode::Success;
}

} // namespace chervilmount::command
