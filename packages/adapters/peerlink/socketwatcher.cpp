#include "adapters/peerlink/socketwatcher.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace chervilmount::adapters {

struct SocketWatcher::State
{
    State(const boost::asio::any_io_executor &executor, int descriptor, Handler handler)
        : m_descriptor(executor, descriptor)
        , m_handler(std::move(handler))
    {
    }

    boost::asio::posix::stream_descriptor m_descriptor;
    Handler m_handler;
    bool m_scheduled = false;
    bool m_closed = false;
};

SocketWatcher::SocketWatcher(const boost::asio::any_io_executor &executor, zmq::socket_t &socket,
                             Handler handler)
    : m_state(std::make_shared<State>(executor, socket.get(zmq::sockopt::fd), std::move(handler)))
{
    waitForEdge(m_state);
    schedule(m_state);
}

SocketWatcher::~SocketWatcher()
{
    m_state->m_closed = true;
    // The descriptor belongs to ZeroMQ and must not be closed here.
    m_state->m_descriptor.release();
}

void SocketWatcher::recheck()
{
    schedule(m_state);
}

void SocketWatcher::waitForEdge(const std::shared_ptr<State> &state)
{
    state->m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                   [state](boost::system::error_code error) {
                                       if (error || state->m_closed)
                                           return;
                                       // The descriptor stays readable until ZMQ_EVENTS is read,
                                       // so the next wait starts only after the handler.
                                       if (state->m_handler())
                                           schedule(state);
                                       waitForEdge(state);
                                   });
}

void SocketWatcher::schedule(const std::shared_ptr<State> &state)
{
    if (state->m_scheduled || state->m_closed)
        return;
    state->m_scheduled = true;
    boost::asio::post(state->m_descriptor.get_executor(), [state] {
        state->m_scheduled = false;
        if (!state->m_closed && state->m_handler())
            schedule(state);
    });
}

} // namespace chervilmount::adapters
