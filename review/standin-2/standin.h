#pragma once

// Stand-ins for the platform's store, for backend servers and for clients, and a runner for node processes. Everything
// listens on loopback addresses. Each connection has a thread; all state is behind one mutex per stand-in.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline Clock::time_point processStart()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

inline double secondsSinceStart(Clock::time_point time = Clock::now())
{
    return std::chrono::duration<double>(time - processStart()).count();
}

/** Writes record.txt; each line begins with the seconds since the start of the case. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {
        processStart();
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", secondsSinceStart());
        m_file << time << text << '\n';
    }

    /** Writes a line to the record and to standard output. */
    void say(const std::string &text)
    {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

    void flush()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Message
{
    /** The parts of the first line. */
    std::string m_first, m_second, m_third;
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : m_fields) {
            if (strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
};

/** A connected socket with a buffer for what has arrived. */
class Stream
{
public:
    explicit Stream(int descriptor)
        : m_descriptor(descriptor)
    {
        const int one = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Stream() { close(); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int descriptor() const { return m_descriptor; }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    bool write(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count =
                    ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** @returns whether the other side has closed the connection. */
    bool isClosed()
    {
        char byte = 0;
        const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /** Reads one message; @returns false if the connection ended or the time is over. */
    bool read(Message &message, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return false;
        }
        message = {};
        parseHead(m_buffer.substr(0, end), message);
        m_buffer.erase(0, end + 4);
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message, until);
        const std::string length = message.field("Content-Length");
        const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < bytes) {
            if (!more(until))
                return false;
        }
        message.m_body = m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return true;
    }

private:
    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
        pollfd entry{m_descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return false;
            }
            const std::size_t bytes = std::stoul(m_buffer.substr(0, end), nullptr, 16);
            while (m_buffer.size() < end + 2 + bytes + 2) {
                if (!more(until))
                    return false;
            }
            message.m_body += m_buffer.substr(end + 2, bytes);
            m_buffer.erase(0, end + 2 + bytes + 2);
            if (bytes == 0)
                return true;
        }
    }

    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t position = 0;
        bool isFirst = true;
        while (position <= head.size()) {
            std::size_t end = head.find("\r\n", position);
            if (end == std::string::npos)
                end = head.size();
            const std::string line = head.substr(position, end - position);
            position = end + 2;
            if (isFirst) {
                isFirst = false;
                const std::size_t one = line.find(' ');
                const std::size_t two = line.find(' ', one + 1);
                message.m_first = line.substr(0, one);
                message.m_second = line.substr(one + 1, two - one - 1);
                message.m_third = two == std::string::npos ? "" : line.substr(two + 1);
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.m_fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
    }

    int m_descriptor;
    std::string m_buffer;
};

inline sockaddr_in endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

/** @returns a connection, or nothing if it was refused or took longer than a second. */
inline std::shared_ptr<Stream> dial(const std::string &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = endpointOf(address);
    const timeval second{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_shared<Stream>(descriptor);
}

/** Finds a free port of a loopback address. */
inline int freePort(const std::string &ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in endpoint = endpointOf(ip + ":0");
    socklen_t size = sizeof endpoint;
    ::bind(descriptor, reinterpret_cast<sockaddr *>(&endpoint), size);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&endpoint), &size);
    ::close(descriptor);
    return ntohs(endpoint.sin_port);
}

/** Accepts connections and gives each a thread, which reads requests and calls the handler. */
class Server
{
public:
    /** @returns whether the connection stays open. */
    using Handler = std::function<bool(Stream &, const Message &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
    {
    }

    void listen(const std::string &address)
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in endpoint = endpointOf(address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0
            || ::listen(m_listener, 512) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
            std::exit(2);
        }
        std::thread([this] {
            for (;;) {
                const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (descriptor < 0)
                    return;
                std::thread([this, descriptor] { serve(descriptor); }).detach();
            }
        }).detach();
    }

private:
    void serve(int descriptor)
    {
        Stream stream(descriptor);
        Message request;
        while (stream.read(request, Clock::now() + std::chrono::seconds{120})) {
            if (!m_handler(stream, request))
                return;
        }
    }

    Handler m_handler;
    int m_listener = -1;
};

inline std::string response(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                            const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string decodePercent(const std::string &text)
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

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        result[pair.substr(0, equals)] =
                equals == std::string::npos ? "" : decodePercent(pair.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return result;
}

inline std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8U
                    | (index + byte < bytes.size() ? static_cast<unsigned char>(bytes[index + byte]) : 0U);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += index + digit > bytes.size() ? '=' : digits[group >> (18 - 6 * digit) & 63U];
    }
    return text;
}

/** The platform's store: rows-tx, rows-get and rows-feed. While it is down it accepts connections and answers nothing. */
class Store
{
public:
    Store()
        : m_server([this](Stream &stream, const Message &request) { return handle(stream, request); })
    {
    }

    void listen(const std::string &address) { m_server.listen(address); }

    void setDown(bool down) { m_down = down; }

    /** Writes a row as the operator does. */
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        set(table, key, toBase64(value), ++m_version);
        m_changed.notify_all();
    }

private:
    struct Row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
    };

    void set(const std::string &table, const std::string &key, const std::string &value,
             std::uint64_t version)
    {
        m_tables[table][key] = {value, version};
    }

    static json::object rowOf(const std::string &table, const std::string &key, const Row &row)
    {
        return {{"table", table}, {"part", ""}, {"key", key}, {"value", row.m_value}, {"ver", row.m_version}};
    }

    bool handle(Stream &stream, const Message &request)
    {
        if (m_down) {
            while (m_down && !stream.isClosed())
                std::this_thread::sleep_for(Milliseconds{20});
            return false;
        }
        std::this_thread::sleep_for(Milliseconds{4});
        const std::string path = request.m_second.substr(0, request.m_second.find('?'));
        std::map<std::string, std::string> query = queryOf(request.m_second);
        int status = 200;
        json::object body;
        if (path == "/rows-tx") {
            transact(request.m_body, status, body);
        } else if (path == "/rows-get") {
            get(query, body);
        } else if (path == "/rows-feed") {
            feed(query, body);
        } else {
            status = 404;
        }
        if (m_down)
            return false;
        body["now_s"] = secondsSinceStart();
        return stream.write(response(status, {{"Content-Type", "application/json"}}, json::serialize(body)));
    }

    void transact(const std::string &text, int &status, json::object &body)
    {
        const json::value value = json::parse(text);
        const std::lock_guard<std::mutex> lock(m_mutex);
        json::array current;
        bool holds = true;
        for (const json::value &entry : value.at("expected_rev").as_array()) {
            const std::string table(entry.at("table").as_string());
            const std::string key(entry.at("key").as_string());
            const auto found = m_tables[table].find(key);
            const std::uint64_t version = found == m_tables[table].end() ? 0 : found->second.m_version;
            holds = holds && version == entry.at("ver").to_number<std::uint64_t>();
            if (version != 0)
                current.push_back(rowOf(table, key, found->second));
        }
        if (!holds) {
            status = 412;
            body = {{"rows", current}, {"ver", m_version}};
            return;
        }
        ++m_version;
        for (const json::value &entry : value.at("set_keys").as_array())
            set(std::string(entry.at("table").as_string()), std::string(entry.at("key").as_string()),
                std::string(entry.at("value").as_string()), m_version);
        for (const json::value &entry : value.at("remove").as_array())
            m_tables[std::string(entry.at("table").as_string())].erase(std::string(entry.at("key").as_string()));
        body = {{"ver", m_version}};
        m_changed.notify_all();
    }

    void get(std::map<std::string, std::string> &query, json::object &body)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::size_t limit = query["limit"].empty() ? 500 : std::stoul(query["limit"]);
        json::array rows;
        bool truncated = false;
        for (const auto &[key, row] : m_tables[query["table"]]) {
            if (key < query["from"] || (!query["target"].empty() && key >= query["target"]))
                continue;
            if (rows.size() == limit) {
                truncated = true;
                break;
            }
            rows.push_back(rowOf(query["table"], key, row));
        }
        body = {{"rows", rows}, {"truncated", truncated}, {"ver", m_version}};
    }

    void feed(std::map<std::string, std::string> &query, json::object &body)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::uint64_t after = std::stoull(query["after"]);
        const Clock::time_point until = Clock::now() + Milliseconds{std::stol(query["wait_ms"])};
        json::array rows;
        for (;;) {
            for (const auto &[key, row] : m_tables[query["table"]]) {
                if (row.m_version > after)
                    rows.push_back(rowOf(query["table"], key, row));
            }
            if (!rows.empty() || m_down || m_changed.wait_until(lock, until) == std::cv_status::timeout)
                break;
        }
        body = {{"rows", rows}, {"ver", m_version}};
    }

    std::atomic<bool> m_down = false;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 0;
    Server m_server;
};

/** A request that a backend server has begun to run. */
struct Run
{
    std::string m_attempt;
    std::string m_tenant;
    std::string m_server;
    std::string m_body;
    Clock::time_point m_at;
};

/** A backend server: runs each request for its work time, at most until the deadline that it is handed. */
class Backend
{
public:
    Backend(std::string id, std::string service, std::string zone, std::string address, std::string control,
            int slots)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(std::move(address))
        , m_control(std::move(control))
        , m_slots(slots)
        , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                         .count())
        , m_server([this](Stream &stream, const Message &request) { return handle(stream, request); })
    {
    }

    /** Serves, and sends a ping every 1.5 s. */
    void start()
    {
        m_server.listen(m_address);
        std::thread([this] {
            for (;;) {
                ping();
                std::this_thread::sleep_for(Milliseconds{1500});
            }
        }).detach();
    }

    std::vector<Run> runs()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

    /** Requests that reached it, whether it ran them or not; those for another server are left out. */
    std::vector<Run> arrivals()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_arrivals;
    }

    /** Requests a second that it names as its limit in its answers; 0 for none. */
    std::atomic<int> m_requestLimit = 0;
    std::atomic<int> m_workMilliseconds = 60;
    /** Share of the requests that it runs and whose answers are lost: the caller gets nothing on that connection. */
    std::atomic<double> m_lostShare = 0.0;

private:
    void ping()
    {
        const std::shared_ptr<Stream> stream = dial(m_control);
        if (!stream)
            return;
        const json::object body{{"service", m_service},
                                {"address", m_address},
                                {"zone", m_zone},
                                {"version", "v1"},
                                {"slots", m_slots},
                                {"state", "ready"},
                                {"cold_remaining_s", 0},
                                {"sequence", ++m_sequence},
                                {"born", m_born}};
        const std::string text = json::serialize(body);
        Message answer;
        stream->write("PUT /instances/" + m_id + " HTTP/1.1\r\nHost: " + m_control
                      + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                      + std::to_string(text.size()) + "\r\n\r\n" + text);
        stream->read(answer, Clock::now() + Milliseconds{1000});
    }

    std::string loadText() { return std::to_string(m_running) + ",0," + std::to_string(m_slots); }

    bool handle(Stream &stream, const Message &request)
    {
        if (request.m_second == "/health")
            return stream.write(response(
                    200, {{"X-Chervilmount-Instance-Id", m_id}, {"X-Chervilmount-Server-Load", loadText()}}, ""));
        const std::string attempt = request.field("X-Chervilmount-Attempt-Id");
        const std::vector<std::pair<std::string, std::string>> echo{{"X-Chervilmount-Attempt-Id", attempt}};
        if (request.field("X-Chervilmount-Expected-Instance") != m_id)
            return stream.write(response(421, echo, ""));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_arrivals.push_back({attempt, request.field("X-Chervilmount-Tenant"), m_id, "", Clock::now()});
        }
        if (m_running >= m_slots) {
            std::vector<std::pair<std::string, std::string>> fields = echo;
            fields.emplace_back("X-Chervilmount-Not-Executed", "1");
            return stream.write(response(503, fields, ""));
        }
        const Clock::time_point begun = Clock::now();
        bool isLost = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_runs.push_back({attempt, request.field("X-Chervilmount-Tenant"), m_id, request.m_body, begun});
            m_lost += m_lostShare;
            if (m_lost >= 1.0) {
                m_lost -= 1.0;
                isLost = true;
            }
        }
        ++m_running;
        const std::string patience = request.field("X-Chervilmount-Deadline-Ms");
        const Clock::time_point deadline = begun + Milliseconds{patience.empty() ? 60000 : std::stol(patience)};
        const Clock::time_point end = std::min(begun + Milliseconds{m_workMilliseconds}, deadline);
        while (Clock::now() < end) {
            if (stream.isClosed()) {
                --m_running;
                return false;
            }
            std::this_thread::sleep_for(std::min<Clock::duration>(Milliseconds{10}, end - Clock::now()));
        }
        --m_running;
        if (isLost) {
            while (!stream.isClosed())
                std::this_thread::sleep_for(Milliseconds{20});
            return false;
        }
        const bool isLate = end == deadline;
        std::vector<std::pair<std::string, std::string>> fields{{"X-Chervilmount-Attempt-Id", attempt},
                                                                {"X-Chervilmount-Server-Seal", "seal-" + attempt},
                                                                {"X-Chervilmount-Server-Load", loadText()}};
        if (m_requestLimit > 0)
            fields.emplace_back("Server-Limit", std::to_string(m_requestLimit));
        return stream.write(response(isLate ? 504 : 200, fields, "body of " + attempt));
    }

    std::string m_id, m_service, m_zone, m_address, m_control;
    int m_slots;
    std::int64_t m_born;
    std::atomic<int> m_sequence = 0;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::vector<Run> m_arrivals;
    double m_lost = 0.0;
    Server m_server;
};

/** Ends the node processes of a case that is itself ended or takes too long. */
class StartedProcesses
{
public:
    /** A case may run for 120 s. */
    static constexpr unsigned LongestSeconds = 115;

    static void add(pid_t process)
    {
        static const bool isSet = [] {
            for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGALRM})
                std::signal(number, endAll);
            ::alarm(LongestSeconds);
            return true;
        }();
        (void)isSet;
        for (std::atomic<pid_t> &entry : s_processes) {
            pid_t none = 0;
            if (entry.compare_exchange_strong(none, process))
                return;
        }
    }

    static void remove(pid_t process)
    {
        for (std::atomic<pid_t> &entry : s_processes) {
            pid_t expected = process;
            entry.compare_exchange_strong(expected, 0);
        }
    }

private:
    static void endAll(int /*number*/)
    {
        for (const std::atomic<pid_t> &entry : s_processes) {
            if (entry > 0)
                ::kill(entry, SIGKILL);
        }
        ::_exit(2);
    }

    static inline std::array<std::atomic<pid_t>, 64> s_processes{};
};

/** A node process, started with the command of the deploy file from the root of the repository. */
class Node
{
public:
    Node(std::string name, std::string service, std::string zone, std::string ip, std::string store,
         const std::string &folder)
        : m_name(std::move(name))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_ip(std::move(ip))
        , m_settingsPath(folder + "/" + m_name + ".conf")
        , m_logPath(folder + "/" + m_name + ".log")
    {
        m_app = m_ip + ":" + std::to_string(freePort(m_ip));
        m_outbound = m_ip + ":" + std::to_string(freePort(m_ip));
        m_ready = m_ip + ":" + std::to_string(freePort(m_ip));
        m_control = m_ip + ":" + std::to_string(freePort(m_ip));
        std::ofstream file(m_settingsPath);
        file << "self.node=" << m_name << "\nself.role=node\nself.machine_class=sidecar\nself.serves=sidecar\n"
             << "self.ip=" << m_ip << "\nself.zone=" << m_zone << "\nself.region=north\n"
             << "self.counts_as_loss=false\nself.bootstrap=true\nself.limits.cpu_share=0.4\nself.limits.cores=1\n"
             << "self.limits.memory_mb=260\nself.limits.max_fds=4100\nself.limits.link_mbps=1000.0\n"
             << "self.app_addr=" << m_app << "\nself.service=" << m_service << "\nnetwork.listen.inbound=" << m_ip
             << ":" << freePort(m_ip) << "\nnetwork.listen.outbound=" << m_outbound << "\nnetwork.listen.ready="
             << m_ready << "\nnetwork.listen.control=" << m_control << "\nnetwork.internal_ports=" << InternalPort
             << "," << InternalPort + 15 << "\nnetwork.seeds=\nplatform.heartbeat_s=1.5\n"
             << "platform.platform.address=" << store << "\nplatform.platform.form=table\n"
             << "platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n"
             << "terms.bounds.contact_s=3\nterms.bounds.ack_s=4\nterms.bounds.catch_up_s=4\nterms.bounds.drain_s=2\n"
             << "terms.bounds.grace_s=6\nterms.bounds.loss_slack_s=0.2\nterms.bounds.config_apply_s=2\n"
             << "terms.bounds.retry_budget_ratio=0.2\nterms.bounds.budget_window_s=10\nterms.bounds.budget_slack=47\n"
             << "terms.bounds.quota_window_s=5\nterms.bounds.quota_overage=0.1\nterms.bounds.quota_slack=20\n"
             << "terms.bounds.recovery_s=15\n";
    }

    /** Ends the process if it still runs. */
    ~Node() { kill(); }

    void start()
    {
        const std::string variable = "CHERVILMOUNT_BOOT=" + m_settingsPath;
        const char *path = "target/packages/node/chervilmount-node";
        char *const arguments[] = {const_cast<char *>(path), const_cast<char *>("--platform"), nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        const char *log = m_logPath.c_str();
        m_process = ::fork();
        if (m_process == 0) {
            const int descriptor = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(descriptor, 1);
            ::dup2(descriptor, 2);
            ::execve(path, arguments, environment);
            std::_Exit(127);
        }
        StartedProcesses::add(m_process);
    }

    /** Sends SIGKILL and waits for the end. */
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        StartedProcesses::remove(m_process);
        m_process = -1;
    }

    void signal(int number) const { ::kill(m_process, number); }

    /** @returns whether the process has ended by itself. */
    bool hasEnded()
    {
        if (m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
            StartedProcesses::remove(m_process);
            m_process = -1;
        }
        return m_process <= 0;
    }

    bool isReady() const
    {
        const std::shared_ptr<Stream> stream = dial(m_ready);
        Message answer;
        return stream && stream->write("GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                && stream->read(answer, Clock::now() + Milliseconds{1000}) && answer.m_second == "200";
    }

    bool waitUntilReady(Milliseconds limit) const
    {
        const Clock::time_point until = Clock::now() + limit;
        while (Clock::now() < until) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(Milliseconds{50});
        }
        return false;
    }

    pid_t process() const { return m_process; }

    static inline int InternalPort = 7000;
    std::string m_name, m_service, m_zone, m_ip, m_app, m_outbound, m_ready, m_control;

private:
    std::string m_settingsPath, m_logPath;
    pid_t m_process = -1;
};

/** Result of one client attempt; status 0 if the connection ended or nothing came in time. */
struct Outcome
{
    int m_status = 0;
    std::string m_seal;
    std::string m_requestLimit;
    std::string m_body;
    Clock::time_point m_at;
};

inline std::string requestText(const std::string &method, const std::string &host, const std::string &target,
                               const std::string &attempt, int deadlineMilliseconds, const std::string &key,
                               const std::string &body = "", bool closes = false)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host
            + "\r\nX-Chervilmount-Attempt-Id: " + attempt
            + "\r\nX-Chervilmount-Deadline-Ms: " + std::to_string(deadlineMilliseconds) + "\r\n";
    if (!key.empty())
        text += "X-Chervilmount-Key: " + key + "\r\n";
    if (closes)
        text += "Connection: close\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/** Sends one request on a connection of its own and waits for the answer for as long as its deadline. */
inline Outcome ask(const std::string &address, const std::string &text, int deadlineMilliseconds)
{
    Outcome outcome;
    Message answer;
    const std::shared_ptr<Stream> stream = dial(address);
    if (stream && stream->write(text)
        && stream->read(answer, Clock::now() + Milliseconds{deadlineMilliseconds})) {
        outcome.m_status = std::stoi(answer.m_second);
        outcome.m_seal = answer.field("X-Chervilmount-Server-Seal");
        outcome.m_requestLimit = answer.field("Server-Limit");
        outcome.m_body = answer.m_body;
    }
    outcome.m_at = Clock::now();
    return outcome;
}

/** A folder that is removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        const char *base = std::getenv("TMPDIR");
        m_path = std::string(base == nullptr ? "/tmp" : base) + "/chervilmount-case-XXXXXX";
        if (::mkdtemp(m_path.data()) == nullptr)
            std::exit(2);
    }
    ~TemporaryFolder()
    {
        if (std::getenv("KEEP") == nullptr && std::system(("rm -rf '" + m_path + "'").c_str()) != 0)
            std::fprintf(stderr, "cannot remove %s\n", m_path.c_str());
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace standin
