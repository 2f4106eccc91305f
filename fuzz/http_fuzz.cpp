#include "adapters/http/httplistener.h"
#include "adapters/http/httpmessage.h"
#include "adapters/http/responsehead.h"
#include "fuzz/require.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

using namespace chervilmount::adapters;
using chervilmount::fuzz::require;

namespace {

namespace http = boost::beast::http;

/** No field of one connection may be passed on: it would frame the message on the next one. */
void checkFields(const http::fields &fields)
{
    const std::vector<HttpField> kept = endToEndFields(fields);
    for (const HttpField &field : kept) {
        for (const char *name : {"connection", "transfer-encoding", "content-length", "expect"})
            require(!equalNames(field.m_name, name));
        require(field.m_value.find_first_of("\r\n") == std::string::npos);
    }
    std::vector<HttpField> rest = kept;
    while (!rest.empty()) {
        const std::size_t before = rest.size();
        removeField(rest, std::string(rest.front().m_name));
        require(rest.size() < before);
    }
}

/** Hands bytes to a parser; those of a response's head are checked as the connections check them.
 */
template<typename Parser>
std::size_t put(Parser &parser, boost::asio::const_buffer bytes, boost::system::error_code &error)
{
    if constexpr (!Parser::is_request::value) {
        if (!parser.is_header_done())
            return putResponseHead(parser, bytes, error);
    }
    return parser.put(bytes, error);
}

/** Feeds bytes to a parser as the connections do, with a bounded buffer for the body. */
template<typename Parser>
void parse(std::string_view bytes)
{
    constexpr std::uint32_t HeadBytes = 16 * 1024;
    constexpr std::uint64_t BodyBytes = 64 * 1024;
    std::array<char, 256> body{};
    Parser parser;
    parser.header_limit(HeadBytes);
    parser.body_limit(BodyBytes);
    bool headChecked = false;
    while (!bytes.empty() && !parser.is_done()) {
        if (parser.is_header_done()) {
            parser.get().body().data = body.data();
            parser.get().body().size = body.size();
        }
        boost::system::error_code error;
        const std::size_t used =
                put(parser, boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        require(used <= bytes.size());
        if (parser.is_header_done() && !headChecked) {
            headChecked = true;
            checkFields(parser.get());
        }
        const bool needsBody = error == http::error::need_buffer;
        if ((error && !needsBody) || (used == 0 && !needsBody))
            return;
        bytes.remove_prefix(used);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    parse<http::request_parser<http::buffer_body>>(text);
    parse<http::response_parser<http::buffer_body>>(text);
    try {
        parseEndpoint(text);
    } catch (const std::invalid_argument &) {
        // Most inputs are no endpoint.
    }
    return 0;
}
