// Stand-ins for the cases of the third review: the platform's store, backend servers and clients, all on loopback
// addresses and the real clock. They do what the users' pages say and nothing else. Nodes are started as separate
// processes with the command of the deploy file.
#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline const Clock::time_point Start = Clock::now();

inline void sleepFor(int milliseconds)
{
    std::this_thread::sleep_for(Milliseconds(milliseconds));
}

// record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) {}

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ",
                      std::chrono::duration<double>(Clock::now() - Start).count());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in address{};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int listenAt(const std::string &text, int backlog = 512)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = addressOf(text);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(const std::string &text)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = addressOf(text);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// A message of HTTP/1.1, parsed as far as the stand-ins need it.
struct Message
{
    std::string m_first;
    std::map<std::string, std::string> m_fields; // names in lower case
    std::string m_body;
    std::string m_head;

    std::string field(const std::string &name) const
    {
        const auto found = m_fields.find(name);
        return found == m_fields.end() ? std::string() : found->second;
    }
    std::string method() const { return m_first.substr(0, m_first.find(' ')); }
    std::string target() const
    {
        const std::size_t begin = m_first.find(' ') + 1;
        return m_first.substr(begin, m_first.find(' ', begin) - begin);
    }
    int status() const { return m_first.size() < 12 ? 0 : std::atoi(m_first.c_str() + 9); }
};

// Reads messages from a connection; keeps what follows one for the next.
class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) {}

    // Returns false at the end of the connection, at a reset and after the time.
    bool head(Message &message, int milliseconds = -1)
    {
        const Clock::time_point until = Clock::now() + Milliseconds(milliseconds);
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(milliseconds < 0 ? -1 : left(until)))
                return false;
        }
        message = Message();
        message.m_head = m_bytes.substr(0, end + 2);
        m_bytes.erase(0, end + 4);
        std::istringstream lines(message.m_head);
        std::string line;
        std::getline(lines, line);
        message.m_first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char &character : name)
                character = static_cast<char>(std::tolower(character));
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.m_fields[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return true;
    }

    bool body(Message &message, int milliseconds = -1)
    {
        const Clock::time_point until = Clock::now() + Milliseconds(milliseconds);
        const std::size_t length = std::strtoull(message.field("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < length) {
            if (!more(milliseconds < 0 ? -1 : left(until)))
                return false;
        }
        message.m_body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return true;
    }

    bool message(Message &message, int milliseconds = -1)
    {
        return head(message, milliseconds) && body(message, milliseconds);
    }

private:
    static int left(Clock::time_point until)
    {
        return static_cast<int>(
                std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count()));
    }

    bool more(int milliseconds)
    {
        pollfd entry{m_fd, POLLIN, 0};
        if (poll(&entry, 1, milliseconds) <= 0)
            return false;
        char buffer[65536];
        const ssize_t count = recv(m_fd, buffer, sizeof buffer, 0);
        if (count <= 0)
            return false;
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_bytes;
};

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections; each one is served by a thread of its own.
class Server
{
public:
    using Handler = std::function<void(int)>;

    Server(const std::string &address, Handler handler) : m_handler(std::move(handler))
    {
        m_listener = listenAt(address);
        if (m_listener < 0)
            throw std::runtime_error("cannot listen at " + address);
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }

    // Closes the listener and all connections.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int fd : m_open)
                ::shutdown(fd, SHUT_RDWR);
        }
        while (m_serving > 0)
            sleepFor(5);
    }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_serving;
            std::thread([this, fd] {
                m_handler(fd);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_open.erase(fd);
                }
                close(fd);
                --m_serving;
            }).detach();
        }
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_serving{0};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += index <= count ? Digits[group >> (18 - 6 * index) & 63] : '=';
    }
    return text;
}

inline std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

// The platform's store: POST /rows-tx, GET /rows-get and GET /rows-feed. It loses nothing that it has acknowledged, but
// in a drill.
class Store
{
public:
    explicit Store(std::string address) : m_address(std::move(address)) { open(); }

    // What the operator writes. Returns the version of the write.
    std::int64_t putConfig(const std::string &document)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        keep();
        m_rows[{"op", "", "config"}] = {encodeBase64(document), ++m_version};
        m_changed.notify_all();
        return m_version;
    }

    std::int64_t version()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_version;
    }
    // When the last write was performed.
    Clock::time_point lastWrite()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_copies.empty() ? Start : m_copies.back().m_until;
    }

    // The store is away for a moment and comes back from a copy that is some time old. What the operator wrote since is
    // written again.
    void drill(Milliseconds away, Milliseconds age, const std::function<void()> &onReturn)
    {
        const Clock::time_point asOf = Clock::now() - age;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_isAway = true;
            m_changed.notify_all();
        }
        m_server->stop();
        std::this_thread::sleep_for(away);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const std::map<Key, Row> lost = m_rows;
            for (auto copy = m_copies.rbegin(); copy != m_copies.rend() && copy->m_until > asOf; ++copy) {
                m_rows = copy->m_rows;
                m_version = copy->m_version;
            }
            ++m_era;
            for (const auto &[key, row] : lost) {
                if (std::get<0>(key) == "op" && (!m_rows.contains(key) || m_rows[key].m_value != row.m_value))
                    m_rows[key] = {row.m_value, ++m_version};
            }
            m_isAway = false;
        }
        open();
        onReturn();
    }

private:
    struct Row
    {
        std::string m_value;
        std::int64_t m_version = 0;
    };
    using Key = std::tuple<std::string, std::string, std::string>;
    // The rows before a write.
    struct Copy
    {
        Clock::time_point m_until;
        std::map<Key, Row> m_rows;
        std::int64_t m_version;
    };

    void open()
    {
        m_server = std::make_unique<Server>(m_address, [this](int fd) { serve(fd); });
    }

    void keep() { m_copies.push_back({Clock::now(), m_rows, m_version}); }

    json::object rowOf(const Key &key, const Row &row) const
    {
        return {{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)},
                {"value", row.m_value}, {"ver", row.m_version}};
    }

    std::string reply(int status, json::object body)
    {
        body["ver"] = m_version;
        body["now_s"] = std::chrono::duration<double>(Clock::now() - Start).count();
        return response(status,
                        "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n",
                        json::serialize(body));
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.message(request)) {
            sleepFor(4);
            const std::string bytes = answer(request);
            if (bytes.empty() || !sendAll(fd, bytes))
                return;
        }
    }

    // Returns an empty text if the store is away.
    std::string answer(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        std::istringstream parts(target.size() > path.size() ? target.substr(path.size() + 1) : "");
        for (std::string part; std::getline(parts, part, '&');)
            query[part.substr(0, part.find('='))] = decodePercent(part.substr(part.find('=') + 1));
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_isAway)
            return "";
        if (path == "/rows-tx")
            return transaction(json::parse(request.m_body).as_object());
        if (path == "/rows-get") {
            json::array rows;
            const std::size_t limit = query.contains("limit") ? std::stoul(query["limit"]) : 500;
            bool truncated = false;
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) != query["table"] || std::get<1>(key) != query["part"]
                    || std::get<2>(key) < query["from"])
                    continue;
                truncated = rows.size() >= limit;
                if (truncated)
                    break;
                rows.push_back(rowOf(key, row));
            }
            return reply(200, {{"rows", rows}, {"truncated", truncated}});
        }
        if (path == "/rows-feed") {
            const std::int64_t after = std::stoll(query["after"]);
            // "a read from one that it doesn't have gets 410"
            if (after > m_version)
                return reply(410, {});
            json::array rows;
            const auto collect = [&] {
                rows.clear();
                for (const auto &[key, row] : m_rows) {
                    if (std::get<0>(key) == query["table"] && row.m_version > after)
                        rows.push_back(rowOf(key, row));
                }
                return !rows.empty() || m_isAway;
            };
            m_changed.wait_for(lock, Milliseconds(std::stoi(query["wait_ms"])), collect);
            return m_isAway ? "" : reply(200, {{"rows", rows}});
        }
        return reply(404, {});
    }

    std::string transaction(const json::object &body)
    {
        json::array current;
        bool holds = true;
        for (const json::value &entry : body.at("expected_rev").as_array()) {
            const json::object &row = entry.as_object();
            const Key key{row.at("table").as_string(), row.at("part").as_string(), row.at("key").as_string()};
            const auto found = m_rows.find(key);
            const std::int64_t version = found == m_rows.end() ? 0 : found->second.m_version;
            holds = holds && version == row.at("ver").to_number<std::int64_t>();
            if (found != m_rows.end())
                current.push_back(rowOf(key, found->second));
        }
        if (!holds)
            return reply(412, {{"rows", current}});
        keep();
        ++m_version;
        for (const json::value &entry : body.at("set_keys").as_array()) {
            const json::object &row = entry.as_object();
            const Key key{row.at("table").as_string(), row.at("part").as_string(), row.at("key").as_string()};
            m_rows[key] = {std::string(row.at("value").as_string()), m_version};
        }
        m_changed.notify_all();
        return reply(200, {});
    }

    std::string m_address;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::int64_t m_version = 0;
    std::vector<Copy> m_copies;
    int m_era = 1;
    bool m_isAway = false;
    std::unique_ptr<Server> m_server;
};

// One machine: its addresses on a loopback address of its own, its node process and its settings.
struct Machine
{
    std::string m_name;
    std::string m_host;
    std::string m_service;
    std::string m_zone;
    std::string m_region;
    std::string m_outbound, m_inbound, m_ready, m_control, m_app, m_metrics;
    int m_internalPort = 0;
    int m_memoryMegabytes = 260;
    pid_t m_process = 0;
};

inline int freePort(const std::string &host, int count = 1)
{
    static int next = 20000 + static_cast<int>(getpid() % 20000);
    for (;;) {
        const int first = next;
        next = next + count > 60000 ? 20000 : next + count;
        bool free = true;
        for (int port = first; port < first + count && free; ++port) {
            const int fd = listenAt(host + ":" + std::to_string(port), 1);
            free = fd >= 0;
            if (free)
                close(fd);
        }
        if (free)
            return first;
    }
}

inline std::string loopback(int number)
{
    return "127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(getpid() / 128 % 250) + "."
            + std::to_string(number);
}

inline Machine makeMachine(int number, const std::string &service, const std::string &zone, const std::string &region)
{
    Machine machine;
    machine.m_name = "sidecar-" + zone + "-" + std::to_string(number);
    machine.m_host = loopback(number);
    machine.m_service = service;
    machine.m_zone = zone;
    machine.m_region = region;
    const auto address = [&machine] { return machine.m_host + ":" + std::to_string(freePort(machine.m_host)); };
    machine.m_outbound = address();
    machine.m_inbound = address();
    machine.m_ready = address();
    machine.m_control = address();
    machine.m_app = address();
    machine.m_internalPort = freePort(machine.m_host, 16);
    machine.m_metrics = machine.m_host + ":" + std::to_string(machine.m_internalPort + 1);
    return machine;
}

// Settings and processes as on a small deployment of the pages.
class Fleet
{
public:
    Fleet(Record &record, std::string store) : m_record(record), m_store(std::move(store))
    {
        m_folder = std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid()));
        std::filesystem::create_directories(m_folder);
    }
    ~Fleet()
    {
        for (const pid_t process : m_processes)
            kill(process, SIGKILL);
        for (const pid_t process : m_processes)
            waitpid(process, nullptr, 0);
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder);
    }

    void start(Machine &machine)
    {
        const std::string path = m_folder / (machine.m_name + ".conf");
        writeSettings(machine, path);
        const std::string log = m_folder / (machine.m_name + ".log");
        const pid_t process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // no node outlives the case
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("CHERVILMOUNT_BOOT", path.c_str(), 1);
            execl("target/packages/node/chervilmount-node", "chervilmount-node", "--platform", nullptr);
            _exit(127);
        }
        machine.m_process = process;
        m_processes.insert(process);
        m_record.line("node " + machine.m_name + " started");
    }

    // Waits for the end of a process that was told to end, or that ended by itself. Returns its status.
    int reap(Machine &machine)
    {
        int status = 0;
        waitpid(machine.m_process, &status, 0);
        m_processes.erase(machine.m_process);
        machine.m_process = 0;
        return status;
    }

    std::string logOf(const Machine &machine) const { return m_folder / (machine.m_name + ".log"); }

private:
    void writeSettings(const Machine &machine, const std::string &path) const
    {
        std::ofstream file(path);
        file << "self.node=" << machine.m_name << "\nself.role=node\nself.machine_class=sidecar\nself.serves=sidecar\n"
             << "self.ip=" << machine.m_host << "\nself.zone=" << machine.m_zone << "\nself.region=" << machine.m_region
             << "\nself.counts_as_loss=false\nself.bootstrap=true\nself.limits.cpu_share=0.4\nself.limits.cores=1\n"
             << "self.limits.memory_mb=" << machine.m_memoryMegabytes
             << "\nself.limits.max_fds=4100\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n"
             << "self.app_addr=" << machine.m_app << "\nself.service=" << machine.m_service
             << "\nnetwork.listen.inbound=" << machine.m_inbound << "\nnetwork.listen.outbound=" << machine.m_outbound
             << "\nnetwork.listen.ready=" << machine.m_ready << "\nnetwork.listen.control=" << machine.m_control
             << "\nnetwork.internal_ports=" << machine.m_internalPort << "," << machine.m_internalPort + 15
             << "\nnetwork.seeds=\nnetwork.zones.north-a=north\nnetwork.zones.north-b=north\n"
             << "platform.discovery=static\nplatform.entry=static\nplatform.heartbeat_s=1.5\n"
             << "platform.platform.address=" << m_store << "\nplatform.platform.form=table\n"
             << "platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\nplatform.platform.tx_s=0.005\n"
             << "platform.platform.part_writes_per_s=200\nplatform.platform.row_bytes=65536\n"
             << "platform.platform.across=false\nplatform.platform.history_s=20\n"
             << "terms.contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform\n"
             << "terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=0\nterms.fault_tolerance.regions=0\n"
             << "terms.bounds.seed_lag_s=3\nterms.bounds.reuse_delay_s=2\nterms.bounds.contact_s=3\n"
             << "terms.bounds.ack_s=4\nterms.bounds.catch_up_s=4\nterms.bounds.drain_s=2\nterms.bounds.grace_s=6\n"
             << "terms.bounds.loss_slack_s=0.2\nterms.bounds.config_apply_s=2\nterms.bounds.rollback_slack_s=0.25\n"
             << "terms.bounds.max_stretch_s=5\nterms.bounds.strict_revocation=false\nterms.bounds.revoke_s=5\n"
             << "terms.bounds.retry_budget_ratio=0.2\nterms.bounds.budget_window_s=10\nterms.bounds.budget_slack=49\n"
             << "terms.bounds.quota_window_s=5\nterms.bounds.quota_overage=0.1\nterms.bounds.quota_slack=20\n"
             << "terms.bounds.recovery_s=15\n";
    }

    Record &m_record;
    std::string m_store;
    std::filesystem::path m_folder;
    std::set<pid_t> m_processes;
};

// One HTTP call on a new connection; status 0 if there was no answer.
inline Message call(const std::string &address, const std::string &request, int milliseconds)
{
    Message answer;
    const int fd = connectTo(address);
    if (fd < 0)
        return answer;
    Reader reader(fd);
    if (!sendAll(fd, request) || !reader.message(answer, milliseconds))
        answer = Message();
    close(fd);
    return answer;
}

inline bool isReady(const Machine &machine)
{
    return call(machine.m_ready, "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 500).status() == 200;
}

inline bool waitUntilReady(const Machine &machine, int milliseconds)
{
    const Clock::time_point until = Clock::now() + Milliseconds(milliseconds);
    while (Clock::now() < until) {
        if (isReady(machine))
            return true;
        sleepFor(50);
    }
    return false;
}

// The connection of the request that this thread runs.
inline thread_local int RunningOn = -1;

// Works for a time, or until the connection of the request is closed. Returns whether the work was done.
inline bool work(int milliseconds)
{
    const Clock::time_point until = Clock::now() + Milliseconds(milliseconds);
    while (Clock::now() < until) {
        pollfd entry{RunningOn, POLLIN | POLLRDHUP, 0};
        if (poll(&entry, 1, 10) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
            return false;
    }
    return true;
}

// A sound backend server: it announces itself each heartbeat_s, answers its status check and runs requests.
class Backend
{
public:
    // Answers a request that has been accepted for running, or closes the connection by returning an empty text.
    using Runner = std::function<std::string(const Message &)>;

    Backend(Record &record, const Machine &machine, std::string id, Runner runner, int slots = 54)
        : m_record(record)
        , m_machine(machine)
        , m_id(std::move(id))
        , m_runner(std::move(runner))
        , m_slots(slots)
        , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_server(machine.m_app, [this](int fd) { serve(fd); })
    {
        m_heart = std::thread([this] { beat(); });
    }
    ~Backend()
    {
        m_stopped = true;
        m_heart.join();
        m_server.stop();
    }

    const std::string &id() const { return m_id; }
    std::atomic<int> m_running{0};

    // The backend server leaves: it says so in its messages and its status check, and goes on serving. Returns whether
    // its leaving is acknowledged.
    bool drain(int milliseconds)
    {
        m_leaving = true;
        const Clock::time_point until = Clock::now() + Milliseconds(milliseconds);
        while (!m_acknowledged && Clock::now() < until)
            sleepFor(10);
        return m_acknowledged;
    }

    // A whole answer of this backend server.
    std::string answer(const Message &request, int status, const std::string &fields, const std::string &body) const
    {
        return response(status,
                        "X-Chervilmount-Attempt-Id: " + request.field("x-chervilmount-attempt-id") + "\r\n"
                                + "X-Chervilmount-Server-Seal: " + m_id + ".seal\r\n" + load() + fields,
                        body);
    }

private:
    std::string load() const
    {
        return "X-Chervilmount-Server-Load: " + std::to_string(m_running) + ",0," + std::to_string(m_slots) + "\r\n";
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.message(request)) {
            std::string bytes;
            if (request.target() == "/health") {
                bytes = response(m_leaving ? 503 : 200, "X-Chervilmount-Instance-Id: " + m_id + "\r\n" + load(), "");
            } else if (request.field("x-chervilmount-expected-instance") != m_id) {
                bytes = response(421,
                                 "X-Chervilmount-Attempt-Id: " + request.field("x-chervilmount-attempt-id")
                                         + "\r\nX-Chervilmount-Instance-Id: " + m_id + "\r\n",
                                 "");
            } else {
                ++m_running;
                RunningOn = fd;
                bytes = m_runner(request);
                --m_running;
            }
            if (bytes.empty() || !sendAll(fd, bytes))
                return;
        }
    }

    void beat()
    {
        int sequence = 0;
        Clock::time_point next = Clock::now();
        bool wasLeaving = false;
        while (!m_stopped) {
            const bool leaving = m_leaving;
            if (Clock::now() >= next || leaving != wasLeaving) {
                wasLeaving = leaving;
                const std::string body = json::serialize(
                        json::object{{"service", m_machine.m_service}, {"address", m_machine.m_app},
                                     {"zone", m_machine.m_zone}, {"version", "v1"}, {"slots", m_slots},
                                     {"state", leaving ? "draining" : "ready"}, {"cold_remaining_s", 0}, {"sequence", ++sequence},
                                     {"born", m_born}});
                const Message answer = call(
                        m_machine.m_control,
                        "PUT /instances/" + m_id + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                             + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                        1000);
                m_acknowledged = m_acknowledged || (leaving && answer.status() / 100 == 2);
                next = Clock::now() + Milliseconds(1500);
            }
            sleepFor(50);
        }
    }

    Record &m_record;
    const Machine &m_machine;
    std::string m_id;
    Runner m_runner;
    int m_slots;
    std::int64_t m_born;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_acknowledged{false};
    Server m_server;
    std::thread m_heart;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace standin
