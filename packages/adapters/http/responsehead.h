#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <string_view>

namespace chervilmount::adapters {

/**
 * Checks the whole header lines at the start of some bytes, up to the empty line, against RFC 9112,
 * section 5. Beast's parser joins folded lines, so that a line that begins with a blank becomes
 * part of the field before it.
 * @param bytes bytes from the beginning of a line on; a status line is left to the parser.
 * @returns http::error::bad_field or bad_value if a line is malformed.
 */
boost::system::error_code checkHeaderLines(std::string_view bytes);

/**
 * Checks the status and the framing of a response. Beast's parser accepts any three digits as
 * status and leaves codings other than chunked to its caller.
 * @returns http::error::bad_status or bad_transfer_encoding if the response is malformed.
 */
boost::system::error_code checkFraming(unsigned status, unsigned version,
                                       const boost::beast::http::fields &fields);

/**
 * Hands bytes of a response to the parser until its head is whole.
 * @param parser has not finished the head, and is not eager.
 * @param error http::error::need_more if the head is not whole, or what is wrong with it.
 * @returns the number of bytes that were used.
 */
template<typename Body>
std::size_t putResponseHead(boost::beast::http::response_parser<Body> &parser,
                            boost::asio::const_buffer bytes, boost::system::error_code &error)
{
    error = checkHeaderLines({static_cast<const char *>(bytes.data()), bytes.size()});
    if (error)
        return 0;
    const std::size_t used = parser.put(bytes, error);
    if (!error && parser.is_header_done())
        error = checkFraming(parser.get().result_int(), parser.get().version(), parser.get());
    return used;
}

} // namespace chervilmount::adapters
