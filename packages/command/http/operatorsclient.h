#pragma once

#include "command/arguments/exitcode.h"
#include "command/http/httpclient.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace chervilmount::command {

/** A response with its body as JSON; null if the body is empty or not JSON. */
struct JsonResponse
{
    unsigned m_status = 0;
    boost::json::value m_body;
};

/** JSON client of the operators' interface; maps failures to exit codes. */
class OperatorsClient
{
public:
    /** @throws CommandError with ExitCode::Usage if the address is missing or malformed. */
    OperatorsClient(const std::string &address, std::chrono::milliseconds timeout);

    /**
     * Reads a resource.
     *
     * @param path path below /operators, e.g. "/members".
     * @throws CommandError unless the status is 200 and the body is JSON.
     */
    boost::json::value get(const std::string &path) const;

    /**
     * Sends a change by POST.
     *
     * @returns the response with any status.
     * @throws CommandError with OutcomeUnknown if the request may have been received and no
     * response came, and with Unavailable if nothing was sent.
     */
    JsonResponse post(const std::string &path, const std::string &body) const;

private:
    HttpClient m_client;
};

/** @returns the text with all characters but letters, digits, '-', '.', '_' and '~' escaped. */
std::string percentEncoded(std::string_view text);

/** @returns the error for a response whose status the command does not expect. */
CommandError unexpectedStatus(const JsonResponse &response);

} // namespace chervilmount::command
