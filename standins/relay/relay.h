#pragma once

#include "standins/support/httpserver.h"

#include <chrono>

namespace chervilmount::standins {

/** Faults of the relay; they apply to all of its links. */
struct RelayFaults
{
    /** Bytes are read but not forwarded, as if the network dropped them; TCP is then closed. */
    bool m_cut = false;
    /** Delay for each block of bytes. */
    std::chrono::milliseconds m_delay{0};
};

/** Accepts connections and forwards them to the target in both directions. */
boost::asio::awaitable<void> relayConnections(boost::asio::ip::tcp::endpoint listen,
                                              boost::asio::ip::tcp::endpoint target,
                                              const RelayFaults &faults);

/** Handles POST /standin/faults with the fields "cut" and "delayMilliseconds". */
boost::asio::awaitable<HttpResponse> handleRelayControl(RelayFaults &faults, HttpRequest request);

} // namespace chervilmount::standins
