#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <unistd.h>

/** @returns a loopback address, "ip:port", on which nothing listens. */
inline std::string freeAddress(boost::asio::io_context &context)
{
    // Ports below those of outgoing connections and of the end-to-end tests, which begin at 20000;
    // each test process begins elsewhere.
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
