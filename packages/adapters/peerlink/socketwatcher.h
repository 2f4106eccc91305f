#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <functional>
#include <memory>

namespace chervilmount::adapters {

/**
 * Runs a handler on the I/O context when a ZeroMQ socket may have become readable or writable.
 *
 * ZMQ_FD is edge-triggered and any send or receive may consume its edge. The owner therefore calls
 * recheck() after it has sent, and the handler reads ZMQ_EVENTS until nothing is left to do.
 */
class SocketWatcher
{
public:
    /** Sends and receives; returns true if it stopped at its batch limit with work left. */
    using Handler = std::function<bool()>;

    /** @param socket must outlive the watcher. */
    SocketWatcher(const boost::asio::any_io_executor &executor, zmq::socket_t &socket,
                  Handler handler);
    ~SocketWatcher();
    SocketWatcher(const SocketWatcher &) = delete;
    SocketWatcher &operator=(const SocketWatcher &) = delete;

    /** Schedules one run of the handler; calls before it runs are coalesced. */
    void recheck();

private:
    struct State;
    static void waitForEdge(const std::shared_ptr<State> &state);
    static void schedule(const std::shared_ptr<State> &state);

    std::shared_ptr<State> m_state;
};

} // namespace chervilmount::adapters
