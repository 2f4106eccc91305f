#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <unistd.h>

/** @returns an unused loopback address, "ip:port". */
inline std::string freeAddress(boost::asio::io_context &context)
{
    // Below the ephemeral ports and those of the end-to-end tests, which start at 20000. Each test
    // process starts at a different port.
    constexpr int FirstPort = 10000;
    constexpr int PortsPerProcess = 100;
    constexpr int Processes = 100;
    static int s_next = FirstPort + (::getpid() % Processes) * PortsPerProcess;
    for (;;) {
        const int port = s_next++;
        boost::asio::ip::tcp::acceptor acceptor(context);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                      static_cast<unsigned short>(port));
        boost::system::error_code error;
        acceptor.open(endpoint.protocol());
        acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(1, error);
        if (!error)
            return "127.0.0.1:" + std::to_string(port);
    }
}
