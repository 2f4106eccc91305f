#include "platform/standin/rowstore.h"

#include "model/encoding/base64.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

using namespace chervilmount;
using namespace chervilmount::relay;
namespace json = boost::json;

namespace {

std::string percentDecode(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t position = target.find('?');
    while (position != std::string::npos) {
        const std::size_t next = target.find('&', position + 1);
        const std::string part = target.substr(position + 1, next - position - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = percentDecode(part.substr(equals + 1));
        position = next;
    }
    return query;
}

} // namespace

RowStore::RowStore(boost::asio::io_context &context)
    : m_context(context)
    , m_timers(context)
{
}

std::string RowStore::addAddress()
{
    const std::string address = freeAddress(m_context);
    m_addresses.push_back(address);
    m_servers.emplace_back(m_context, address, m_limits,
                           [this, address](const Exchange &exchange, const HttpRequest &request) {
                               receive(address, exchange, request);
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
    endFeeds(410);
}

void RowStore::refusePendingCalls()
{
    endFeeds(503);
}

void RowStore::endFeeds(int status)
{
    const std::list<Feed> feeds = std::exchange(m_feeds, {});
    for (const Feed &feed : feeds)
        respond(feed.m_exchange, status, {});
}

void RowStore::forgetHistory(std::chrono::milliseconds behind)
{
    const auto now = std::chrono::steady_clock::now();
    m_feedsHeldUntil = now + SilentTime;
    m_timers.add(m_feedsHeldUntil, [this, behind] {
        compact();
        m_readsBehind = behind;
        m_readsBehindUntil = std::chrono::steady_clock::now() + behind;
    });
}

void RowStore::restoreCopy(std::chrono::milliseconds age)
{
    const auto asOf = std::chrono::steady_clock::now() - age;
    const Tables lost = m_tables;
    while (!m_copies.empty() && m_copies.back().m_until > asOf) {
        m_tables = std::move(m_copies.back().m_tables);
        m_version = m_copies.back().m_version;
        m_copies.pop_back();
    }
    std::erase_if(m_changes, [this](const Change &change) { return change.m_version > m_version; });
    m_earlier.clear();
    m_era = std::to_string(std::stoull(m_era) + 1);
    const auto operators = lost.find("op");
    if (operators == lost.end())
        return;
    for (const auto &[key, row] : operators->second) {
        if (!m_tables["op"].contains(key) || m_tables["op"][key].m_value != row.m_value)
            write("op", key, row.m_value);
    }
}

std::vector<std::string> RowStore::addresses() const
{
    return m_addresses;
}

void RowStore::dropPendingCalls(const std::string &address)
{
    m_feeds.remove_if([this, &address](const Feed &feed) {
        if (!address.empty() && feed.m_address != address)
            return false;
        m_silenced.push_back(feed.m_exchange);
        return true;
    });
}

bool RowStore::hasPendingCalls(const std::string &address) const
{
    return std::any_of(m_feeds.begin(), m_feeds.end(),
                       [&address](const Feed &feed) { return feed.m_address == address; });
}

void RowStore::performHeldWrites()
{
    for (const std::string &body : std::exchange(m_heldWrites, {}))
        apply(json::parse(body).as_object());
}

void RowStore::receive(const std::string &address, const Exchange &exchange,
                       const HttpRequest &request)
{
    const std::string target(request.target());
    ++m_calls[target.substr(0, target.find('?'))];
    if (m_faults.m_silent || m_silent.contains(address)) {
        m_silenced.push_back(exchange);
        return;
    }
    if (m_faults.m_status != 0 || m_refusing.contains(address)) {
        respond(exchange, m_faults.m_status != 0 ? m_faults.m_status : 503, {});
        return;
    }
    const bool writes = request.method() == boost::beast::http::verb::post;
    if (!withinRate(writes ? m_writeRate : m_readRate,
                    writes ? m_faults.m_writesPerSecond : m_faults.m_readsPerSecond)) {
        ++m_limited;
        respond(exchange, 429, {});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto time = now + m_faults.m_delay;
    if (writes) {
        m_writesUntil = std::max(m_writesUntil, now) + m_faults.m_writeTime;
        time = std::max(time, m_writesUntil);
    }
    if (time <= now) {
        handle(address, exchange, target, request.body());
        return;
    }
    m_timers.add(time, [this, address, exchange, target, body = request.body()] {
        handle(address, exchange, target, body);
    });
}

bool RowStore::withinRate(CallRate &rate, int perSecond)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - rate.m_since >= std::chrono::seconds{1})
        rate = {now, 0};
    return ++rate.m_calls <= perSecond || perSecond == 0;
}

void RowStore::handle(const std::string &address, const Exchange &exchange,
                      const std::string &target, const std::string &body)
{
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rows-tx")
        transact(exchange, body);
    else if (path == "/rows-get")
        getRows(exchange, parseQuery(target));
    else if (path == "/rows-feed")
        feed(address, exchange, parseQuery(target));
    else
        respond(exchange, 404, {});
}

void RowStore::transact(const Exchange &exchange, const std::string &body)
{
    if (m_faults.m_holdWrites) {
        m_heldWrites.push_back(body);
        m_silenced.push_back(exchange);
        return;
    }
    const json::object transaction = json::parse(body).as_object();
    if (apply(transaction)) {
        if (m_faults.m_loseWriteAnswers)
            m_silenced.push_back(exchange);
        else
            respond(exchange, 200, {});
        return;
    }
    json::array current;
    for (const json::value &entry : transaction.at("expected_rev").as_array()) {
        const std::string table(entry.at("table").as_string());
        const std::string key(entry.at("key").as_string());
        if (m_tables[table].contains(key))
            current.push_back(rowJson(table, key));
    }
    respond(exchange, 412, {{"rows", std::move(current)}});
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

void RowStore::getRows(const Exchange &exchange, const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::string from = query.contains("from") ? query.at("from") : "";
    std::map<std::string, json::value> entries = m_oddEntries[table];
    for (const auto &[key, row] : m_tables[table])
        entries.emplace(key, rowJson(table, key, rowForReads(table, key)));
    const std::size_t limit =
            query.contains("limit") ? std::stoul(query.at("limit")) : m_pageEntries;
    json::array rows;
    bool truncated = false;
    for (auto entry = entries.lower_bound(from); entry != entries.end() && !truncated; ++entry) {
        truncated = rows.size() >= std::min(limit, m_pageEntries);
        if (!truncated)
            rows.push_back(entry->second);
    }
    respond(exchange, 200, {{"rows", std::move(rows)}, {"truncated", truncated}});
}

void RowStore::feed(const std::string &address, const Exchange &exchange,
                    const std::map<std::string, std::string> &query)
{
    const Feed feed{exchange, address, query.at("table"), std::stoull(query.at("after"))};
    if (feed.m_after < m_compacted || feed.m_after > m_version) {
        respond(exchange, 410, {});
        return;
    }
    if (answerFeed(feed, false))
        return;
    m_feeds.push_back(feed);
    m_timers.add(std::chrono::steady_clock::now()
                         + std::chrono::milliseconds(std::stoll(query.at("wait_ms"))),
                 [this, exchange] {
                     const auto found = std::find_if(m_feeds.begin(), m_feeds.end(),
                                                     [&exchange](const Feed &entry) {
                                                         return entry.m_exchange == exchange;
                                                     });
                     if (found == m_feeds.end())
                         return;
                     if (answerFeed(*found, true))
                         m_feeds.erase(found);
                 });
}

bool RowStore::answerFeed(const Feed &feed, bool atOnce)
{
    if (std::chrono::steady_clock::now() < m_feedsHeldUntil)
        return false;
    json::array rows;
    for (const Change &change : m_changes) {
        if (change.m_table == feed.m_table && change.m_version > feed.m_after)
            rows.push_back(rowJson(change.m_table, change.m_key));
    }
    if (rows.empty() && !atOnce)
        return false;
    respond(feed.m_exchange, 200, {{"rows", std::move(rows)}});
    return true;
}

void RowStore::write(const std::string &table, const std::string &key, const std::string &encoded)
{
    // Long enough for every test, and little to copy.
    constexpr std::size_t MaximumCopies = 100;
    if (m_copies.size() == MaximumCopies)
        m_copies.erase(m_copies.begin());
    m_copies.push_back({std::chrono::steady_clock::now(), m_tables, m_version});
    if (m_tables[table].contains(key))
        m_earlier[table + "/" + key].push_back(
                {std::chrono::steady_clock::now(), m_tables[table][key]});
    m_tables[table][key] = {encoded, ++m_version};
    m_changes.push_back({m_version, table, key});
    std::list<Feed> waiting;
    for (const Feed &feed : std::exchange(m_feeds, {})) {
        if (!answerFeed(feed, false))
            waiting.push_back(feed);
    }
    m_feeds = std::move(waiting);
}

RowStore::Row RowStore::rowForReads(const std::string &table, const std::string &key) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto earlier = m_earlier.find(table + "/" + key);
    if (now >= m_readsBehindUntil || earlier == m_earlier.end())
        return m_tables.at(table).at(key);
    const auto found = std::find_if(
            earlier->second.begin(), earlier->second.end(),
            [time = now - m_readsBehind](const EarlierRow &row) { return row.m_until > time; });
    return found == earlier->second.end() ? m_tables.at(table).at(key) : found->m_row;
}

json::object RowStore::rowJson(const std::string &table, const std::string &key) const
{
    return rowJson(table, key, m_tables.at(table).at(key));
}

json::object RowStore::rowJson(const std::string &table, const std::string &key, const Row &row)
{
    return {{"table", table},
            {"part", ""},
            {"key", key},
            {"value", row.m_value},
            {"ver", row.m_version}};
}

void RowStore::respond(const Exchange &exchange, int status, json::object body)
{
    body["ver"] = m_version;
    body["now_s"] = 0;
    HttpResponse response = makeResponse(status, json::serialize(body));
    response.set(boost::beast::http::field::content_type, "application/json");
    if (!m_era.empty())
        response.set("Store-Era", m_era);
    exchange->respond(std::move(response), false);
}
