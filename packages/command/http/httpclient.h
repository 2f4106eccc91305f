#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

namespace chervilmount::command {

/** A request to the operators' interface. */
struct HttpRequest
{
    /** GET or POST. */
    std::string m_method = "GET";
    /** Path with query. */
    std::string m_target;
    /** JSON body of a POST. */
    std::string m_body;
};

/** The whole response to a request. */
struct HttpResponse
{
    unsigned m_status = 0;
    std::string m_body;
};

/** Thrown when no whole response was received. */
class ConnectionError : public std::runtime_error
{
public:
    /** @param wasSent whether a part of the request may have reached the node. */
    ConnectionError(const std::string &message, bool wasSent)
        : std::runtime_error(message)
        , m_wasSent(wasSent)
    {
    }

    bool wasSent() const { return m_wasSent; }

private:
    bool m_wasSent;
};

/** Sends requests to one node, each over a connection of its own. */
class HttpClient
{
public:
    /**
     * @param address IP number and port, e.g. "10.0.0.7:7403" or "[::1]:7403".
     * @param timeout time limit of each request, from the connection to the last byte.
     * @throws CommandError with ExitCode::Usage if the address is malformed.
     */
    HttpClient(const std::string &address, std::chrono::milliseconds timeout);

    /**
     * Sends a request and waits for the response.
     *
     * @throws ConnectionError if there is no whole response within the time limit.
     */
    HttpResponse send(const HttpRequest &request) const;

    const std::string &address() const { return m_address; }

private:
    std::string m_address;
    std::string m_host;
    unsigned short m_port = 0;
    std::chrono::milliseconds m_timeout;
};

} // namespace chervilmount::command
