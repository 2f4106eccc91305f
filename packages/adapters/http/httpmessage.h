#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::adapters {

/** One HTTP header field. */
struct HttpField
{
    std::string m_name;
    std::string m_value;
};

/** Head of an HTTP request, without hop-by-hop fields. */
struct HttpRequestHead
{
    std::string m_method;
    std::string m_target;
    std::vector<HttpField> m_fields;
    bool m_hasBody = false;
    /** Length of the body if the head states it. */
    std::optional<std::uint64_t> m_bodyBytes;

    /** @returns the value of the first field of this name (case-insensitive), or an empty text. */
    std::string_view field(std::string_view name) const;
};

/** Head of an HTTP response, without hop-by-hop fields. */
struct HttpResponseHead
{
    int m_status = 0;
    std::vector<HttpField> m_fields;
    std::optional<std::uint64_t> m_bodyBytes;

    /** @returns the value of the first field of this name (case-insensitive), or an empty text. */
    std::string_view field(std::string_view name) const;
};

/**
 * Copies the end-to-end fields: all but the hop-by-hop fields (RFC 9110 section 7.6.1),
 * those named by Connection, Content-Length and Expect.
 */
std::vector<HttpField> endToEndFields(const boost::beast::http::fields &fields);

/** @returns true if two field names are equal (case-insensitive). */
bool equalNames(std::string_view left, std::string_view right);

/** Removes all fields of this name. */
void removeField(std::vector<HttpField> &fields, std::string_view name);

} // namespace chervilmount::adapters
