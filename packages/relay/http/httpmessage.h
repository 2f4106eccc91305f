#pragma once

#include "relay/frames/frames.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace chervilmount::relay {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Copies the fields that are passed on. */
std::vector<HeaderField> endToEndFields(const boost::beast::http::fields &fields);

/** @returns a view on a field's value, or an empty one. */
std::string_view fieldValue(const boost::beast::http::fields &fields, std::string_view name);

/** Parses a decimal number without sign; @returns -1 if it is none or does not fit. */
std::int64_t parseNumber(std::string_view text);

/** Makes a response with a text body. */
HttpResponse makeResponse(int status, std::string body);

} // namespace chervilmount::relay
