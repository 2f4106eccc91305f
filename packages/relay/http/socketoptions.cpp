#include "relay/http/socketoptions.h"

#include "relay/http/httpmessage.h"

#include <boost/asio/ip/address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace chervilmount::relay {

namespace {

constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr std::int64_t LargestPort = 65535;

void setOption(boost::asio::ip::tcp::socket &socket, int level, int option, int value)
{
    ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
}

} // namespace

void setConnectionOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void limitUnacknowledgedTime(boost::asio::ip::tcp::socket &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(SilentConnectionTimeout.count()));
}

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    boost::system::error_code error;
    const boost::asio::ip::address address = colon == std::string::npos
            ? boost::asio::ip::address()
            : boost::asio::ip::make_address(text.substr(0, colon), error);
    const std::int64_t port =
            colon == std::string::npos ? -1 : parseNumber(std::string_view(text).substr(colon + 1));
    if (colon == std::string::npos || error || port < 1 || port > LargestPort)
        throw std::invalid_argument("'" + text + "' is not an address of the form ip:port");
    return {address, static_cast<unsigned short>(port)};
}

} // namespace chervilmount::relay
