// Case: a client that has sent several requests ahead and leaves is not noticed; its requests are still sent to backends.
#include "config.h"
#include "standin.h"

using namespace standin;

int main(int argc, char **argv)
{
    constexpr int Clients = 50;
    constexpr int Leavers = 10; // a fifth of the clients
    constexpr int Ahead = 24;   // requests that a client sends before the first is answered
    constexpr std::size_t Cookie = 12000;
    constexpr int WorkMilliseconds = 2000;
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    std::vector<Machine> machines;
    for (int number = 0; number < 4; ++number)
        machines.push_back(makeMachine(1 + number, "catalogue", number % 2 == 0 ? "north-a" : "north-b", "north"));
    std::mutex mutex;
    std::map<std::string, Clock::time_point> arrivals; // at a backend, by id
    std::map<std::string, Clock::time_point> ends;     // of the work on it
    std::vector<std::unique_ptr<Backend>> backends(machines.size());
    for (std::size_t number = 0; number < machines.size(); ++number) {
        backends[number] = std::make_unique<Backend>(
                record, machines[number], "i-catalogue" + std::to_string(number),
                [&, number](const Message &request) {
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        arrivals.emplace(request.field("x-chervilmount-attempt-id"), Clock::now());
                    }
                    // Most backends drop a request when its connection closes; this one does.
                    const bool isDone = work(WorkMilliseconds);
                    {
                        const std::lock_guard<std::mutex> lock(mutex);
                        ends.emplace(request.field("x-chervilmount-attempt-id"), Clock::now());
                    }
                    if (!isDone)
                        return std::string();
                    return backends[number]->answer(request, 200, "", "found");
                },
                175);
    }
    for (Machine &machine : machines)
        fleet.start(machine);
    for (const Machine &machine : machines) {
        if (!waitUntilReady(machine, 20000))
            return record.line("could not run"), 2;
    }
    sleepFor(3500); // contact_s, so that the machines are in touch

    std::map<std::string, Clock::time_point> left; // when the client of a request closed its connection
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            const bool leaves = client < Leavers;
            const int requests = leaves ? Ahead : 1;
            const int fd = connectTo(machines[static_cast<std::size_t>(client) % machines.size()].m_outbound);
            std::string bytes;
            std::vector<std::string> ids;
            for (int number = 0; number < requests; ++number) {
                ids.push_back("c" + std::to_string(client) + "-" + std::to_string(number));
                bytes += requestHead("GET", "/lookup/1", ids.back(), 6000)
                        + (leaves ? "Cookie: " + std::string(Cookie, 'c') + "\r\n" : "") + "\r\n";
            }
            sendAll(fd, bytes);
            if (leaves && hasTrouble()) {
                sleepFor(500);
                close(fd);
                const std::lock_guard<std::mutex> lock(mutex);
                for (const std::string &id : ids)
                    left[id] = Clock::now();
                record.line("client " + std::to_string(client) + " leaves; it has sent " + std::to_string(requests)
                            + " requests");
                return;
            }
            Reader reader(fd);
            Message answer;
            for (int number = 0; number < requests && reader.message(answer, 8000); ++number)
                answered += answer.status() == 200 ? 1 : 0;
            close(fd);
        });
    }
    for (std::thread &client : clients)
        client.join();
    sleepFor(7000);
    const std::lock_guard<std::mutex> lock(mutex);
    int late = 0;
    for (const auto &[id, at] : arrivals) {
        const auto gone = left.find(id);
        if (gone == left.end() || at - gone->second <= Milliseconds(500))
            continue;
        ++late;
        record.line("request " + id + " reaches a backend "
                    + std::to_string(std::chrono::duration<double>(at - gone->second).count())
                    + " s after its client has closed its connection");
    }
    int lasting = 0;
    int working = 0;
    for (const auto &[id, at] : arrivals) {
        const auto gone = left.find(id);
        if (gone == left.end() || at > gone->second
            || at + Milliseconds(WorkMilliseconds) <= gone->second + Milliseconds(500))
            continue;
        ++lasting;
        working += ends[id] > gone->second + Milliseconds(500) ? 1 : 0;
    }
    // GONE: "more than a few requests reach a backend over half a second later; or backends are still at work half a
    // second later on more than a quarter of the idempotent requests [...] that would have lasted so long".
    const bool broken = late > 5 || working * 4 > lasting;
    record.line((broken ? "BROKEN GONE: " : "held: ") + std::to_string(late)
                + " requests of clients that had left reached a backend; at " + std::to_string(working) + " of "
                + std::to_string(lasting) + " a backend was still at work half a second after; "
                + std::to_string(answered) + " requests of others answered 200");
    return broken ? 1 : 0;
}
