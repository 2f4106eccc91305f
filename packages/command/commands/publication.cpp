#include "command/commands/publication.h"

#include "model/findings/findingserror.h"
#include "model/json/objectreader.h"
#include "model/json/text.h"
#include "model/parsing/configurationparser.h"
#include "model/version/objecthashes.h"

#include <utility>

namespace chervilmount::command {

namespace {

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusInvalid = 422;

std::uint64_t versionOf(const json::value &body)
{
    const json::object *object = body.if_object();
    const json::value *version = object == nullptr ? nullptr : object->if_contains("version");
    json::error_code error;
    const std::uint64_t number = version == nullptr ? 0 : version->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

bool hasOutcome(const json::value &body, std::string_view outcome)
{
    const json::object *object = body.if_object();
    const json::value *value = object == nullptr ? nullptr : object->if_contains("outcome");
    return value != nullptr && value->is_string()
            && std::string_view(value->get_string()) == outcome;
}

/** Resolves an unknown outcome by reading the node's configuration. */
PublicationResult resolveUnknown(const OperatorsClient &client, const model::Configuration &set,
                                 std::uint64_t expectedVersion, const std::string &reason)
{
    const PublicationResult unknown{ExitCode::OutcomeUnknown, 0, nullptr, reason};
    try {
        const HeldConfiguration held = fetchConfiguration(client);
        const bool isAccepted = held.m_version > expectedVersion
                && held.m_hash == model::toHex(model::configurationHash(set));
        if (!isAccepted)
            return unknown;
        return {ExitCode::Success, held.m_version,
                json::object{{"outcome", "accepted"}, {"version", held.m_version}}, ""};
    } catch (const CommandError &) {
        return unknown;
    }
}

PublicationResult interpret(JsonResponse response)
{
    const std::uint64_t version = versionOf(response.m_body);
    if (response.m_status == StatusOk && hasOutcome(response.m_body, "accepted"))
        return {ExitCode::Success, version, std::move(response.m_body), ""};
    if (response.m_status == StatusConflict && hasOutcome(response.m_body, "conflict"))
        return {ExitCode::Conflict, version, std::move(response.m_body),
                "another publication came first; the current version is "
                        + std::to_string(version)};
    if (response.m_status == StatusInvalid && hasOutcome(response.m_body, "invalid"))
        return {ExitCode::Findings, 0, std::move(response.m_body),
                "the node rejects the configuration"};
    const CommandError error = unexpectedStatus(response);
    return {hasOutcome(response.m_body, "unknown") ? ExitCode::OutcomeUnknown : error.code(), 0,
            std::move(response.m_body), error.what()};
}

} // namespace

HeldConfiguration fetchConfiguration(const OperatorsClient &client)
{
    const json::value body = client.get("/configuration");
    HeldConfiguration held;
    model::Findings findings;
    model::ObjectReader reader(body, {"node", ""}, findings);
    reader.readInteger("version", held.m_version);
    reader.readString("hash", held.m_hash);
    const json::object *object = body.if_object();
    const json::value *set = object == nullptr ? nullptr : object->if_contains("set");
    if (set == nullptr)
        reader.report("set", "missing", "update the node or this program");
    else
        held.m_configuration =
                model::readConfiguration(*set, {"node", "/set"}, findings).m_configuration;
    if (!findings.empty())
        throw CommandError(ExitCode::UnexpectedResponse,
                           std::string("the node's configuration is not understood: ")
                                   + model::FindingsError(findings).what());
    if (model::toHex(model::configurationHash(held.m_configuration)) != held.m_hash)
        throw CommandError(ExitCode::UnexpectedResponse,
                           "the node's configuration does not match its hash " + held.m_hash);
    return held;
}

PublicationResult publishSet(const OperatorsClient &client, const model::Configuration &set,
                             std::uint64_t expectedVersion)
{
    const std::string path = "/configuration?expectedVersion=" + std::to_string(expectedVersion);
    try {
        PublicationResult result = interpret(client.post(path, model::canonicalText(set)));
        if (result.m_code != ExitCode::OutcomeUnknown)
            return result;
        return resolveUnknown(client, set, expectedVersion, result.m_message);
    } catch (const CommandError &error) {
        if (error.code() != ExitCode::OutcomeUnknown)
            throw;
        return resolveUnknown(client, set, expectedVersion, error.what());
    }
}

} // namespace chervilmount::command
