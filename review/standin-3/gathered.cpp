// Case: uploads that several nodes send on at once take the node beside the backend server over its memory limit.
#include "memorycase.h"

using namespace standin;

int main(int argc, char **argv)
{
    constexpr int Clients = 8;
    constexpr int Entries = 8;
    constexpr int WorkMilliseconds = 4000;
    constexpr int UploadsPerEntry = 4;
    constexpr std::size_t LargeBody = 8000000; // less than an eighth of max_body_bytes
    constexpr std::size_t UsualBody = 360000;
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    Machine orders = makeMachine(1, "orders", "north-b", "north");
    std::vector<Machine> entries;
    for (int number = 0; number < Entries; ++number)
        entries.push_back(makeMachine(2 + number, "catalogue", "north-a", "north"));
    std::atomic<int> runs{0};
    const auto serve = [&](Backend &backend, const Message &request) {
        if (request.target() == "/order/slow") {
            record.line("run: " + request.field("x-chervilmount-attempt-id") + " begins");
            ++runs;
            sleepFor(WorkMilliseconds);
        } else if (request.target() == "/upload/1") {
            record.line("run: " + request.field("x-chervilmount-attempt-id") + ", body of "
                        + std::to_string(request.m_body.size()) + " bytes");
            sleepFor(2000);
        }
        return backend.answer(request, 200, "", "done");
    };
    Backend store1(record, orders, "i-orders1", [&](const Message &request) { return serve(store1, request); });
    std::vector<std::unique_ptr<Backend>> backends;
    for (int number = 0; number < Entries; ++number) {
        backends.push_back(nullptr);
        backends[number] = std::make_unique<Backend>(
                record, entries[number], "i-catalogue" + std::to_string(number),
                [&, number](const Message &request) { return serve(*backends[number], request); });
    }
    fleet.start(orders);
    for (Machine &entry : entries)
        fleet.start(entry);
    if (!waitUntilReady(orders, 20000))
        return record.line("could not run"), 2;
    for (Machine &entry : entries) {
        if (!waitUntilReady(entry, 20000))
            return record.line("could not run"), 2;
    }
    sleepFor(4000);
    std::vector<std::unique_ptr<MemoryWatch>> platform;
    platform.push_back(std::make_unique<MemoryWatch>(record, orders));
    for (const Machine &entry : entries)
        platform.push_back(std::make_unique<MemoryWatch>(record, entry));
    KeptClients clients(record, orders, Clients, "/order/");
    const bool isPrepared = clients.waitUntilRunning(runs, 5000);
    if (isPrepared) {
        const std::size_t bytes = hasTrouble() ? LargeBody : UsualBody;
        std::vector<std::thread> uploads;
        for (int number = 0; number < Entries * UploadsPerEntry; ++number) {
            uploads.emplace_back([&, number] {
                const std::string id = "upload" + std::to_string(number);
                const Machine &entry = entries[number % Entries];
                record.line("sent: " + id + " to " + entry.m_name + ", body of " + std::to_string(bytes)
                            + " bytes");
                const Message answer = call(entry.m_outbound,
                                            requestHead("POST", "/upload/1", id, 20000) + "Content-Length: "
                                                    + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'),
                                            20000);
                record.line(answer.status() == 0 ? "no answer: " + id + ", the connection was closed"
                                                 : "answer: " + id + " " + std::to_string(answer.status()) + " "
                                                        + answer.m_body);
            });
        }
        for (std::thread &upload : uploads)
            upload.join();
    }
    clients.join();
    for (const std::unique_ptr<MemoryWatch> &watch : platform)
        watch->stop();
    if (!isPrepared)
        return record.line("could not run"), 2;
    return clients.isBroken() ? 1 : 0;
}
