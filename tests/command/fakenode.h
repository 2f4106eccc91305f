#pragma once

#include "command/http/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chervilmount::tests {

/** Status that makes the fake node close the connection without a response. */
constexpr unsigned CloseConnection = 0;
/** Status that makes the fake node keep the connection open without a response. */
constexpr unsigned NoResponse = 1;

/** Fake operators' interface on loopback; the test's handler supplies the responses. */
class FakeNode
{
public:
    using Handler = std::function<command::HttpResponse(const command::HttpRequest &)>;

    /** @param handler called for each request on the thread of the fake node. */
    explicit FakeNode(Handler handler);
    ~FakeNode();

    FakeNode(const FakeNode &) = delete;
    FakeNode &operator=(const FakeNode &) = delete;

    /** @returns the address for --node. */
    std::string address() const;

    /** @returns the requests received so far. */
    std::vector<command::HttpRequest> requests() const;

private:
    void serve();
    void serveConnection(boost::asio::ip::tcp::socket socket);

    Handler m_handler;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    std::vector<command::HttpRequest> m_requests;
    std::vector<boost::asio::ip::tcp::socket> m_silent;
    std::thread m_thread;
};

} // namespace chervilmount::tests
