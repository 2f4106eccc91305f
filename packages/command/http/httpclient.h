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

/** A complete response. */
struct HttpResponse
{
    unsigned m_status = 0;
    std::string m_body;
};

/** Thrown when no complete response was received. */
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

/** Sends requests to one node, each over a new connection. */
class HttpClient
{
public:
    /**
     * @param address IP number and port, e.g. "10.0.0.7:7403" or "[::1]:7403".
     * @param timeout of each request, from connecting to the last byte of the response.
     * @throws CommandError with ExitCode::Usage if the address is malformed.
     */
    HttpClient(const std::string &address, std::chrono::milliseconds timeout);

    /**
     * Sends a request and waits for the response.
     *
     * @throws ConnectionError if no complete response arrives within the timeout.
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
