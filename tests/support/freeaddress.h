#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <optional>
#include <stdexcept>
#include <string>
#include <unistd.h>

/**
 * A block of loopback ports that no other block of this or another test process has. It holds the
 * first port of the block for as long as it exists, so that an address which was given out stays
 * free for a node that is stopped and started again.
 */
class PortBlock
{
public:
    /** Below the ephemeral ports and those of the end-to-end tests, which start at 20000. @{ */
    static constexpr int FirstPort = 10000;
    static constexpr int Ports = 100;
    static constexpr int Blocks = 100;
    /** @} */

    /** Claims the first block from this one on that nobody holds.
     * @throws std::runtime_error if all are held. */
    explicit PortBlock(int preferred)
    {
        for (int block = 0; block < Blocks; ++block) {
            m_next = FirstPort + (preferred + block) % Blocks * Ports;
            if (listen(m_guard, m_next++))
                return;
        }
        throw std::runtime_error("all blocks of test ports are held");
    }

    /** @returns the first of so many free ports in a row, or nothing if the block has no more. */
    std::optional<int> next(int count = 1)
    {
        int found = 0;
        while (m_next % Ports != 0) {
            const int port = m_next++;
            boost::asio::ip::tcp::acceptor probe(m_context);
            found = listen(probe, port) ? found + 1 : 0;
            if (found == count)
                return port - count + 1;
        }
        return std::nullopt;
    }

private:
    static bool listen(boost::asio::ip::tcp::acceptor &acceptor, int port)
    {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                      static_cast<unsigned short>(port));
        boost::system::error_code error;
        acceptor.close(error);
        acceptor.open(endpoint.protocol());
        // As in a node: connections that have just ended do not take up the port.
        acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(1, error);
        return !error;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_guard{m_context};
    int m_next = 0;
};

/** @param ports ports in a row, of which the first one is returned.
 * @returns a loopback address, "ip:port", that no other caller in any test process gets. */
inline std::string freeAddress(boost::asio::io_context & /*context*/, int ports = 1)
{
    // Blocks stay claimed until the process ends.
    static std::list<PortBlock> blocks;
    if (blocks.empty())
        blocks.emplace_back(::getpid() % PortBlock::Blocks);
    std::optional<int> port = blocks.back().next(ports);
    while (!port) {
        blocks.emplace_back(::getpid() % PortBlock::Blocks);
        port = blocks.back().next(ports);
    }
    return "127.0.0.1:" + std::to_string(*port);
}
