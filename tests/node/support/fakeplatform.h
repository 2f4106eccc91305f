#pragma once

#include "adapters/http/httplistener.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>

/** Table service and object store in memory, with the protocol of the platform. */
class FakePlatform
{
public:
    explicit FakePlatform(const boost::asio::any_io_executor &executor);

    std::string address() const;

    /** All requests are answered with 503. */
    bool m_down = false;
    /** The next writes take effect, but their responses are lost. */
    int m_lostWriteResponses = 0;
    /** Number of transactions that were received. */
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
