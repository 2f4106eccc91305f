#include "command/http/operatorsclient.h"

#include "command/arguments/exitcode.h"
#include "model/json/document.h"

#include <boost/json/parse.hpp>

namespace chervilmount::command {

namespace {

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusServiceUnavailable = 503;

json::value parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    return error ? json::value() : value;
}

std::string reasonOf(const json::value &body)
{
    const json::object *object = body.if_object();
    for (const char *field : {"reason", "error", "problem"}) {
        const json::value *reason = object == nullptr ? nullptr : object->if_contains(field);
        if (reason != nullptr && reason->is_string())
            return ": " + std::string(std::string_view(reason->get_string()));
    }
    return body.is_null() ? "" : ": " + model::excerpt(body);
}

const std::string &requireAddress(const std::string &address)
{
    if (address.empty())
        throw CommandError(ExitCode::Usage, "this command needs --node ADDRESS");
    return address;
}

} // namespace

OperatorsClient::OperatorsClient(const std::string &address, std::chrono::milliseconds timeout)
    : m_client(requireAddress(address), timeout)
{
}

json::value OperatorsClient::get(const std::string &path) const
{
    JsonResponse response;
    try {
        const HttpResponse answer = m_client.send({"GET", "/operators" + path, ""});
        response = {answer.m_status, parseBody(answer.m_body)};
    } catch (const ConnectionError &error) {
        throw CommandError(ExitCode::Unavailable, error.what());
    }
    if (response.m_status != StatusOk)
        throw unexpectedStatus(response);
    if (response.m_body.is_null())
        throw CommandError(ExitCode::UnexpectedResponse,
                           "the response of node " + m_client.address() + " is not JSON");
    return response.m_body;
}

JsonResponse OperatorsClient::post(const std::string &path, const std::string &body) const
{
    try {
        const HttpResponse answer = m_client.send({"POST", "/operators" + path, body});
        return {answer.m_status, parseBody(answer.m_body)};
    } catch (const ConnectionError &error) {
        if (!error.wasSent())
            throw CommandError(ExitCode::Unavailable, error.what());
        throw CommandError(ExitCode::OutcomeUnknown,
                           std::string(error.what()) + "; the change may have taken effect");
    }
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view HexDigits = "0123456789ABCDEF";
    constexpr std::string_view Unreserved =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    std::string result;
    for (const char character : text) {
        if (Unreserved.find(character) != std::string_view::npos) {
            result += character;
            continue;
        }
        const unsigned char byte = static_cast<unsigned char>(character);
        result += '%';
        result += HexDigits[byte >> 4U];
        result += HexDigits[byte & 0xFU];
    }
    return result;
}

CommandError unexpectedStatus(const JsonResponse &response)
{
    const std::string status = std::to_string(response.m_status) + reasonOf(response.m_body);
    if (response.m_status == StatusNotFound)
        return {ExitCode::NotFound, "the node does not know this, status " + status};
    if (response.m_status == StatusServiceUnavailable)
        return {ExitCode::Unavailable, "the node cannot do this at present, status " + status};
    return {ExitCode::UnexpectedResponse, "unexpected response, status " + status};
}

} // namespace chervilmount::command
