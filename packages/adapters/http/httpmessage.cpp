#include "adapters/http/httpmessage.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace chervilmount::adapters {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 10> ConnectionFields{
        "connection",        "keep-alive",     "proxy-connection",    "te",    "trailer", "upgrade",
        "transfer-encoding", "content-length", "proxy-authorization", "expect"};

std::string_view findField(const std::vector<HttpField> &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (equalNames(field.m_name, name))
            return field.m_value;
    }
    return {};
}

} // namespace

bool equalNames(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view HttpRequestHead::field(std::string_view name) const
{
    return findField(m_fields, name);
}

std::string_view HttpResponseHead::field(std::string_view name) const
{
    return findField(m_fields, name);
}

std::vector<HttpField> endToEndFields(const boost::beast::http::fields &fields)
{
    std::vector<std::string> dropped(ConnectionFields.begin(), ConnectionFields.end());
    const auto connection = fields.equal_range(http::field::connection);
    for (auto field = connection.first; field != connection.second; ++field) {
        for (const auto &token : http::token_list(field->value()))
            dropped.emplace_back(token);
    }
    std::vector<HttpField> result;
    for (const auto &field : fields) {
        const std::string name(field.name_string());
        const bool drop = std::any_of(dropped.begin(), dropped.end(), [&name](const auto &other) {
            return equalNames(name, other);
        });
        if (!drop)
            result.push_back({name, std::string(field.value())});
    }
    return result;
}

void removeField(std::vector<HttpField> &fields, std::string_view name)
{
    std::erase_if(fields,
                  [name](const HttpField &field) { return equalNames(field.m_name, name); });
}

} // namespace chervilmount::adapters
