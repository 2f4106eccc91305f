#include "relay/http/httpmessage.h"

#include "adapters/http/httpmessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace chervilmount::relay {

namespace http = boost::beast::http;

namespace {

/** @returns whether a header field concerns only one connection and is not passed on. */
bool isConnectionField(std::string_view name)
{
    constexpr std::array<std::string_view, 11> Names{
            "Connection",       "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
            "Proxy-Connection", "TE",     "Trailer",    "Transfer-Encoding",  "Upgrade",
            "Content-Length"};
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view other) {
        return adapters::equalNames(name, other);
    });
}

} // namespace

std::vector<HeaderField> endToEndFields(const http::fields &fields)
{
    std::vector<HeaderField> result;
    const std::string_view connection = fieldValue(fields, "Connection");
    for (const http::fields::value_type &field : fields) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isConnectionField(name) || field.name() == http::field::host)
            continue;
        // A field that the Connection field names concerns only this connection.
        if (!connection.empty() && http::token_list(fields[http::field::connection]).exists(name))
            continue;
        result.push_back(
                {std::string(name), std::string(field.value().data(), field.value().size())});
    }
    return result;
}

std::string_view fieldValue(const http::fields &fields, std::string_view name)
{
    const auto found = fields.find({name.data(), name.size()});
    if (found == fields.end())
        return {};
    return {found->value().data(), found->value().size()};
}

std::int64_t parseNumber(std::string_view text)
{
    std::int64_t number = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0)
        return -1;
    return number;
}

HttpResponse makeResponse(int status, std::string body)
{
    HttpResponse response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.body() = std::move(body);
    return response;
}

} // namespace chervilmount::relay
