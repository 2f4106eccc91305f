#pragma once

#include "adapters/http/httplistener.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>

/** In-memory table service and object store with the protocol of the platform. */
class FakePlatform
{
public:
    explicit FakePlatform(const boost::asio::any_io_executor &executor);

    std::string address() const;

    /** If set, all requests are answered with 503. */
    bool m_down = false;
    /** Number of next writes that take effect but whose responses are lost. */
    int m_lostWriteResponses = 0;
    /** Number of received transactions. */
    int m_transactions = 0;

    struct Row
    {
        std::uint64_t m_revision = 0;
        boost::json::value m_value;
    };
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;

private:
    chervilmount::adapters::Task<> handle(chervilmount::adapters::HttpExchange &exchange);
    static std::string rowText(const Row &row);
    std::string rowsText(const std::string &prefix) const;
    std::string transact(const boost::json::value &request);

    std::uint64_t m_revision = 0;
    chervilmount::adapters::HttpListener m_listener;
};
