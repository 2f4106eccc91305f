#pragma once

#include "relay/http/httpclientconnection.h"
#include "relay/rawcaller.h"
#include "support/freeaddress.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

/** A server address and what the clients of a test share. */
struct SharedServer
{
    boost::asio::io_context m_loop;
    std::string m_address = freeAddress(m_loop);
    boost::asio::ip::tcp::acceptor m_acceptor{m_loop,
                                              chervilmount::relay::parseEndpoint(m_address)};
    std::shared_ptr<chervilmount::relay::BodyBudget> m_bodies =
            std::make_shared<chervilmount::relay::BodyBudget>(
                    chervilmount::relay::BodyBudget{100000, 0});
};

/** A connection to a server whose bytes the test writes. */
struct ServerClient
{
    boost::asio::io_context &m_context;
    std::shared_ptr<chervilmount::relay::HttpClientConnection> m_client;
    std::unique_ptr<RawCaller> m_server;
    std::optional<chervilmount::relay::ExchangeResult> m_result;
    int m_requests = 0;

    /** @param responseBytes longest accepted body. */
    explicit ServerClient(SharedServer &shared, std::size_t responseBytes = 1000000)
        : m_context(shared.m_loop)
        , m_client(std::make_shared<chervilmount::relay::HttpClientConnection>(
                  m_context, "Id", responseBytes, shared.m_bodies))
    {
        bool connected = false;
        shared.m_acceptor.async_accept(
                [this](boost::system::error_code, boost::asio::ip::tcp::socket socket) {
                    m_server = std::make_unique<RawCaller>(std::move(socket));
                });
        m_client->connect(chervilmount::relay::parseEndpoint(shared.m_address),
                          [&connected](bool) { connected = true; });
        REQUIRE(runUntil(m_context, [&] { return connected && m_server; }));
    }

    ~ServerClient() { m_client->close(); }

    void request(const std::string &id, const std::string &body = "",
                 boost::beast::http::verb method = boost::beast::http::verb::get)
    {
        chervilmount::relay::HttpRequest request;
        request.version(11);
        request.method(method);
        request.target("/" + id);
        request.body() = body;
        request.prepare_payload();
        m_result.reset();
        ++m_requests;
        m_client->exchange(std::move(request), id,
                           [this](chervilmount::relay::ExchangeResult result) {
                               m_result = std::move(result);
                           });
    }

    /** Reads the request: a server that closes before resets the connection. */
    void awaitRequest()
    {
        REQUIRE(runUntil(m_context, [this] {
            return countOf(m_server->m_received, "\r\n\r\n") == m_requests;
        }));
    }

    void awaitResult()
    {
        REQUIRE(runUntil(m_context, [this] { return m_result.has_value(); }));
    }

    /** Sends a beginning, then the same bytes until the client closes. @returns whether it did. */
    bool sendsUntilClosed(const std::string &start, const std::string &bytes)
    {
        m_server->send(start);
        std::string many;
        while (many.size() < 2000)
            many += bytes;
        return runUntil(m_context, [&] {
            m_server->trySend(many);
            return m_server->m_closed || m_server->m_sendFailed;
        });
    }
};

/** The only client of a server. */
struct ClientCase : SharedServer, ServerClient
{
    ClientCase()
        : ServerClient(static_cast<SharedServer &>(*this))
    {
    }
};
