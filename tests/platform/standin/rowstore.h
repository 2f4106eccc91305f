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

/** Faults of the store; each applies until it is reset. */
struct RowStoreFaults
{
    /** Calls are answered with this status; 0 for none. */
    int m_status = 0;
    /** Calls get no response. */
    bool m_silent = false;
    /** Writes are performed, but their responses are lost. */
    bool m_loseWriteAnswers = false;
    /** Writes get no response and are delayed until performHeldWrites(), which checks their
     * conditions. */
    bool m_holdWrites = false;
    /** Delay before a call is handled. */
    std::chrono::milliseconds m_delay{0};
    /** Maximum calls per second; others get 429. 0 for no limit. @{ */
    int m_writesPerSecond = 0;
    int m_readsPerSecond = 0;
    /** @} */
    /** Duration of a write; writes are performed one at a time. */
    std::chrono::milliseconds m_writeTime{0};
};

/** In-memory fake of the platform's store: versioned rows, transactions and a change feed. */
class RowStore
{
public:
    explicit RowStore(boost::asio::io_context &context);

    /** Adds a listener on the same rows. @returns its address, for the use of one node. */
    std::string addAddress();

    /** Writes a row as the operators do. */
    void put(const std::string &table, const std::string &key, const std::string &value);

    /** @returns the decoded value of a row; empty if there is none. */
    std::string value(const std::string &table, const std::string &key) const;

    /** Discards the history of changes; feeds that need it get 410. */
    void compact();

    /** Time before a loss of history in which changes are not reported. */
    static constexpr std::chrono::seconds SilentTime{1};

    /**
     * Forgets its history as a store does that restarts: changes of the next SilentTime are not
     * reported, then the history is gone and all calls that wait for changes end; reads return the
     * rows of @p behind ago until that much time has passed.
     */
    void forgetHistory(std::chrono::milliseconds behind);

    /**
     * Comes back from a copy: the rows, their versions and the history are those of @p age ago, and
     * the era rises by one. Rows of the operators that were lost are written again at once. Calls
     * that wait for changes go on waiting.
     */
    void restoreCopy(std::chrono::milliseconds age);

    /** @returns the newest version. */
    std::uint64_t version() const { return m_version; }

    /** @returns the addresses of all listeners. */
    std::vector<std::string> addresses() const;

    /** Drops the pending calls of a node's address, or of all addresses if it is empty: they get no
     * response, and their connections stay open. */
    void dropPendingCalls(const std::string &address = "");

    /** Answers the calls that wait for changes with 503. */
    void refusePendingCalls();

    /** @returns whether a call of the address waits for a change. */
    bool hasPendingCalls(const std::string &address) const;

    /** Performs the delayed writes whose conditions still hold. */
    void performHeldWrites();

    /** Entries of another writer by table and key, as they are sent. */
    std::map<std::string, std::map<std::string, boost::json::value>> m_oddEntries;
    /** Entries of one response; further ones are on the next page. */
    std::size_t m_pageEntries = 500;

    /** Text that answers name as the era; none if it is empty. */
    std::string m_era = "1";

    /** @returns the calls so far that write rows, and those that read them at once. @{ */
    int writeCalls() const { return callsOf("/rows-tx"); }
    int readCalls() const { return callsOf("/rows-get"); }
    /** @} */

    RowStoreFaults m_faults;
    /** Addresses whose listeners answer every call with 503. */
    std::set<std::string> m_refusing;
    /** Addresses whose listeners give no response. */
    std::set<std::string> m_silent;
    /** Number of calls by path, and of calls beyond the rate limits. @{ */
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

    /** An earlier value of a row, and until when it was the present one. */
    struct EarlierRow
    {
        std::chrono::steady_clock::time_point m_until;
        Row m_row;
    };

    using Tables = std::map<std::string, std::map<std::string, Row>>;

    /** The rows before a write. */
    struct Copy
    {
        std::chrono::steady_clock::time_point m_until;
        Tables m_tables;
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
        std::string m_address;
        std::string m_table;
        std::uint64_t m_after = 0;
    };

    /** Number of calls of one kind within the current second. */
    struct CallRate
    {
        std::chrono::steady_clock::time_point m_since;
        int m_calls = 0;
    };

    int callsOf(const std::string &path) const
    {
        const auto found = m_calls.find(path);
        return found == m_calls.end() ? 0 : found->second;
    }
    void receive(const std::string &address, const Exchange &exchange,
                 const chervilmount::relay::HttpRequest &request);
    void handle(const std::string &address, const Exchange &exchange, const std::string &target,
                const std::string &body);
    bool withinRate(CallRate &rate, int perSecond);
    void transact(const Exchange &exchange, const std::string &body);
    /** @returns whether the conditions held and the entries were applied. */
    bool apply(const boost::json::object &transaction);
    void getRows(const Exchange &exchange, const std::map<std::string, std::string> &query);
    void feed(const std::string &address, const Exchange &exchange,
              const std::map<std::string, std::string> &query);
    bool answerFeed(const Feed &feed, bool atOnce);
    void write(const std::string &table, const std::string &key, const std::string &encoded);
    boost::json::object rowJson(const std::string &table, const std::string &key) const;
    static boost::json::object rowJson(const std::string &table, const std::string &key,
                                       const Row &row);
    /** @returns the row as reads see it. */
    Row rowForReads(const std::string &table, const std::string &key) const;
    void respond(const Exchange &exchange, int status, boost::json::object body);
    void endFeeds(int status);

    boost::asio::io_context &m_context;
    chervilmount::relay::TimerQueue m_timers;
    chervilmount::traffic::CallerLimits m_limits;
    std::list<chervilmount::relay::HttpServer> m_servers;
    std::vector<std::string> m_addresses;
    /** When all writes received so far will have been performed. */
    std::chrono::steady_clock::time_point m_writesUntil;
    CallRate m_writeRate;
    CallRate m_readRate;
    std::vector<std::string> m_heldWrites;
    /** Rows by table and key; values are stored Base64-encoded, as they are sent. */
    Tables m_tables;
    /** Rows before the latest writes, oldest first. */
    std::vector<Copy> m_copies;
    /** Earlier values of rows, oldest first, by "table/key". */
    std::map<std::string, std::vector<EarlierRow>> m_earlier;
    /** Reads return the rows of this long ago until that time. @{ */
    std::chrono::milliseconds m_readsBehind{0};
    std::chrono::steady_clock::time_point m_readsBehindUntil;
    /** @} */
    /** Changes are not reported before this time. */
    std::chrono::steady_clock::time_point m_feedsHeldUntil;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 0;
    std::uint64_t m_compacted = 0;
    std::list<Feed> m_feeds;
    /** Calls that get no response, kept so that their connections stay open. */
    std::list<Exchange> m_silenced;
};
