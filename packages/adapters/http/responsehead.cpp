#include "adapters/http/responsehead.h"

#include "adapters/http/httpmessage.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <iterator>

namespace chervilmount::adapters {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view LineEnd = "\r\n";
constexpr unsigned FirstStatus = 100;
constexpr unsigned LastStatus = 599;
/** Answers an upgrade, which nobody here asks for. */
constexpr unsigned SwitchingProtocols = 101;
/** HTTP/1.1 as Beast states it. */
constexpr unsigned VersionWithCodings = 11;

bool isTokenCharacter(char character)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z')
            || (character >= 'a' && character <= 'z')
            || Symbols.find(character) != std::string_view::npos;
}

bool isControl(char character)
{
    const unsigned char value = static_cast<unsigned char>(character);
    return (value < ' ' && character != '\t') || value == '\x7f';
}

boost::system::error_code checkLine(std::string_view line)
{
    const std::string_view name = line.substr(0, line.find(':'));
    if (name.empty() || name.size() == line.size()
        || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return http::error::bad_field;
    const std::string_view value = line.substr(name.size() + 1);
    if (std::any_of(value.begin(), value.end(), isControl))
        return http::error::bad_value;
    return {};
}

} // namespace

boost::system::error_code checkHeaderLines(std::string_view bytes)
{
    if (bytes.starts_with("HTTP/")) {
        const std::size_t end = bytes.find(LineEnd);
        bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + LineEnd.size());
    }
    for (;;) {
        const std::size_t end = bytes.find(LineEnd);
        if (end == std::string_view::npos || end == 0)
            return {};
        if (const boost::system::error_code error = checkLine(bytes.substr(0, end)))
            return error;
        bytes.remove_prefix(end + LineEnd.size());
    }
}

boost::system::error_code checkFraming(unsigned status, unsigned version,
                                       const http::fields &fields)
{
    if (status < FirstStatus || status > LastStatus || status == SwitchingProtocols)
        return http::error::bad_status;
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (first == last)
        return {};
    const bool isChunked = std::next(first) == last
            && equalNames({first->value().data(), first->value().size()}, "chunked");
    if (!isChunked || version < VersionWithCodings)
        return http::error::bad_transfer_encoding;
    return {};
}

} // namespace chervilmount::adapters
