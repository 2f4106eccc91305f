#include "platform/standin/rowstore.h"

#include "model/encoding/base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <unistd.h>

using namespace chervilmount;
using namespace chervilmount::relay;
namespace json = boost::json;

namespace {

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t next = target.find('&', position + 1);
        const std::string part = target.substr(position + 1, next - position - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = part.substr(equals + 1);
        position = next;
    }
    return query;
}

} // namespace

std::string freeAddress(boost::asio::io_context &context)
{
    // Ports below those of outgoing connections and of the end-to-end tests, which begin at 20000;
    // each test process begins elsewhere.
    constexpr int FirstPort = 10000;
    constexpr int PortsPerProcess = 100;
    constexpr int Processes = 100;
    static int s_next = FirstPort + (::getpid() % Processes) * PortsPerProcess;
    for (;;) {
        const int port = s_next++;
        boost::asio::ip::tcp::acceptor acceptor(context);
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                      static_cast<unsigned short>(port));
        boost::system::error_code error;
        acceptor.open(endpoint.protocol());
        acceptor.bind(endpoint, error);
        if (!error)
            acceptor.listen(1, error);
        if (!error)
            return "127.0.0.1:" + std::to_string(port);
    }
}

RowStore::RowStore(boost::asio::io_context &context)
    : m_context(context)
    , m_timers(context)
{
}

std::string RowStore::addAddress()
{
    const std::string address = freeAddress(m_context);
    m_servers.emplace_back(m_context, address, m_limits,
                           [this, address](const Session &session, const HttpRequest &request) {
                               receive(address, session, request);
                           });
    return address;
}

void RowStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    write(table, key, model::toBase64(value));
}

std::string RowStore::value(const std::string &table, const std::string &key) const
{
    const auto rows = m_tables.find(table);
    if (rows == m_tables.end() || !rows->second.contains(key))
        return {};
    return model::fromBase64(rows->second.at(key).m_value);
}

void RowStore::compact()
{
    m_compacted = m_version;
    m_changes.clear();
    const std::list<Feed> feeds = std::exchange(m_feeds, {});
    for (const Feed &feed : feeds)
        respond(feed.m_session, 410, {});
}

void RowStore::performHeldWrites()
{
    for (const std::string &body : std::exchange(m_heldWrites, {}))
        apply(json::parse(body).as_object());
}

void RowStore::receive(const std::string &address, const Session &session,
                       const HttpRequest &request)
{
    const std::string target(request.target());
    ++m_calls[target.substr(0, target.find('?'))];
    if (m_faults.m_silent) {
        m_silenced.push_back(session);
        return;
    }
    if (m_faults.m_status != 0 || m_refusing.contains(address)) {
        respond(session, m_faults.m_status != 0 ? m_faults.m_status : 503, {});
        return;
    }
    const bool writes = request.method() == boost::beast::http::verb::post;
    if (!withinRate(writes ? m_writeRate : m_readRate,
                    writes ? m_faults.m_writesPerSecond : m_faults.m_readsPerSecond)) {
        ++m_limited;
        respond(session, 429, {});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto time = now + m_faults.m_delay;
    if (writes) {
        m_writesUntil = std::max(m_writesUntil, now) + m_faults.m_writeTime;
        time = std::max(time, m_writesUntil);
    }
    if (time <= now) {
        handle(session, target, request.body());
        return;
    }
    m_timers.add(time,
                 [this, session, target, body = request.body()] { handle(session, target, body); });
}

bool RowStore::withinRate(CallRate &rate, int perSecond)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.m_since >= std::chrono::seconds{1})
        rate = {now, 0};
    return ++rate.m_calls <= perSecond || perSecond == 0;
}

void RowStore::handle(const Session &session, const std::string &target, const std::string &body)
{
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-tx")
        transact(session, body);
    else if (path == "/rows-get")
        getRows(session, parseQuery(target));
    else if (path == "/rows-feed")
        feed(session, parseQuery(target));
    else
        respond(session, 404, {});
}

void RowStore::transact(const Session &session, const std::string &body)
{
    if (m_faults.m_holdWrites) {
        m_heldWrites.push_back(body);
        m_silenced.push_back(session);
        return;
    }
    const json::object transaction = json::parse(body).as_object();
    if (apply(transaction)) {
        if (m_faults.m_loseWriteAnswers)
            m_silenced.push_back(session);
        else
            respond(session, 200, {});
        return;
    }
    json::array current;
    for (const json::value &entry : transaction.at("expected_rev").as_array()) {
        const std::string table(entry.at("table").as_string());
        const std::string key(entry.at("key").as_string());
        if (m_tables[table].contains(key))
            current.push_back(rowJson(table, key));
    }
    respond(session, 412, {{"rows", std::move(current)}});
}

bool RowStore::apply(const json::object &transaction)
{
    for (const json::value &entry : transaction.at("expected_rev").as_array()) {
        const json::object &row = entry.as_object();
        const auto &rows = m_tables[std::string(row.at("table").as_string())];
        const auto found = rows.find(std::string(row.at("key").as_string()));
        const std::uint64_t version = found == rows.end() ? 0 : found->second.m_version;
        if (version != row.at("ver").to_number<std::uint64_t>())
            return false;
    }
    for (const json::value &entry : transaction.at("set_keys").as_array()) {
        const json::object &row = entry.as_object();
        write(std::string(row.at("table").as_string()), std::string(row.at("key").as_string()),
              std::string(row.at("value").as_string()));
    }
    return true;
}

void RowStore::getRows(const Session &session, const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::string from = query.contains("from") ? query.at("from") : "";
    json::array rows;
    for (const auto &[key, row] : m_tables[table]) {
        if (key >= from)
            rows.push_back(rowJson(table, key));
    }
    respond(session, 200, {{"rows", std::move(rows)}, {"truncated", false}});
}

void RowStore::feed(const Session &session, const std::map<std::string, std::string> &query)
{
    const Feed feed{session, query.at("table"), std::stoull(query.at("after"))};
    if (feed.m_after < m_compacted) {
        respond(session, 410, {});
        return;
    }
    if (answerFeed(feed, false))
        return;
    m_feeds.push_back(feed);
    m_timers.add(std::chrono::steady_clock::now()
                         + std::chrono::milliseconds(std::stoll(query.at("wait_ms"))),
                 [this, session] {
                     const auto found = std::find_if(
                             m_feeds.begin(), m_feeds.end(),
                             [&session](const Feed &entry) { return entry.m_session == session; });
                     if (found == m_feeds.end())
                         return;
                     answerFeed(*found, true);
                     m_feeds.erase(found);
                 });
}

bool RowStore::answerFeed(const Feed &feed, bool atOnce)
{
    json::array rows;
    for (const Change &change : m_changes) {
        if (change.m_table == feed.m_table && change.m_version > feed.m_after)
            rows.push_back(rowJson(change.m_table, change.m_key));
    }
    if (rows.empty() && !atOnce)
        return false;
    respond(feed.m_session, 200, {{"rows", std::move(rows)}});
    return true;
}

void RowStore::write(const std::string &table, const std::string &key, const std::string &encoded)
{
    m_tables[table][key] = {encoded, ++m_version};
    m_changes.push_back({m_version, table, key});
    std::list<Feed> waiting;
    for (const Feed &feed : std::exchange(m_feeds, {})) {
        if (!answerFeed(feed, false))
            waiting.push_back(feed);
    }
    m_feeds = std::move(waiting);
}

json::object RowStore::rowJson(const std::string &table, const std::string &key) const
{
    const Row &row = m_tables.at(table).at(key);
    return {{"table", table},
            {"part", ""},
            {"key", key},
            {"value", row.m_value},
            {"ver", row.m_version}};
}

void RowStore::respond(const Session &session, int status, json::object body)
{
    body["ver"] = m_version;
    body["now_s"] = 0;
    HttpResponse response = makeResponse(status, json::serialize(body));
    response.set(boost::beast::http::field::content_type, "application/json");
    session->respond(std::move(response), false);
}
