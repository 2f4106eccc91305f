#pragma once

#include "relay/http/httpserver.h"
#include "relay/timers/timerqueue.h"
#include "support/freeaddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/** Faults of the store; each holds until it is changed. */
struct RowStoreFaults
{
    /** Calls are answered with this status; 0 for none. */
    int m_status = 0;
    /** Calls get no answer. */
    bool m_silent = false;
    /** Writes take effect, but their answers are lost. */
    bool m_loseWriteAnswers = false;
    /** Writes get no answer and are performed later, if their conditions hold then. */
    bool m_holdWrites = false;
    /** Time added before a call is handled. */
    std::chrono::milliseconds m_delay{0};
    /** Calls a second beyond which 429 is answered; 0 for no limit. @{ */
    int m_writesPerSecond = 0;
    int m_readsPerSecond = 0;
    /** @} */
    /** Time that a write takes; writes are performed one after the other. */
    std::chrono::milliseconds m_writeTime{0};
};

/** The platform's store in memory: rows with versions, transactions and a feed of changes. */
class RowStore
{
public:
    explicit RowStore(boost::asio::io_context &context);

    /** @returns the address of a further listener on the same rows, for one node of its own. */
    std::string addAddress();

    /** Writes a row as the operators do. */
    void put(const std::string &table, const std::string &key, const std::string &value);

    /** @returns the decoded value of a row; empty if there is none. */
    std::string value(const std::string &table, const std::string &key) const;

    /** Drops the history: feeds that are behind get 410. */
    void compact();

    /** Performs the writes that were held back. */
    void performHeldWrites();

    RowStoreFaults m_faults;
    /** Addresses at which every call is answered with 503. */
    std::set<std::string> m_refusing;
    /** Calls received by path, and those beyond the rates. @{ */
    std::map<std::string, int> m_calls;
    int m_limited = 0;
    /** @} */

private:
    using Exchange = std::shared_ptr<chervilmount::relay::ServerExchange>;

    struct Row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };

    struct Change
    {
        std::uint64_t m_version = 0;
        std::string m_table;
        std::string m_key;
    };

    struct Feed
    {
        Exchange m_exchange;
        std::string m_table;
        std::uint64_t m_after = 0;
    };

    /** Calls of one kind within the present second. */
    struct CallRate
    {
        std::chrono::steady_clock::time_point m_since;
        int m_calls = 0;
    };

    void receive(const std::string &address, const Exchange &exchange,
                 const chervilmount::relay::HttpRequest &request);
    void handle(const Exchange &exchange, const std::string &target, const std::string &body);
    bool withinRate(CallRate &rate, int perSecond);
    void transact(const Exchange &exchange, const std::string &body);
    /** @returns whether the conditions held and the entries were applied. */
    bool apply(const boost::json::object &transaction);
    void getRows(const Exchange &exchange, const std::map<std::string, std::string> &query);
    void feed(const Exchange &exchange, const std::map<std::string, std::string> &query);
    bool answerFeed(const Feed &feed, bool atOnce);
    void write(const std::string &table, const std::string &key, const std::string &encoded);
    boost::json::object rowJson(const std::string &table, const std::string &key) const;
    void respond(const Exchange &exchange, int status, boost::json::object body);

    boost::asio::io_context &m_context;
    chervilmount::relay::TimerQueue m_timers;
    chervilmount::traffic::CallerLimits m_limits;
    std::list<chervilmount::relay::HttpServer> m_servers;
    /** When the writes received so far are performed. */
    std::chrono::steady_clock::time_point m_writesUntil;
    CallRate m_writeRate;
    CallRate m_readRate;
    std::vector<std::string> m_heldWrites;
    /** Values are kept in the encoded form in which they are sent. */
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_compacted = 0;
    std::list<Feed> m_feeds;
    /** Sessions that get no answer. */
    std::list<Exchange> m_silenced;
};
