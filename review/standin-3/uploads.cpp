// Case: one upload of max_body_bytes takes a node over its memory limit, and the requests that it serves are lost.
#include "memorycase.h"

using namespace standin;

int main(int argc, char **argv)
{
    constexpr int Clients = 8;
    constexpr int WorkMilliseconds = 3000;
    constexpr std::size_t LargestBody = 67108864; // max_body_bytes of the config
    constexpr std::size_t UsualBody = 360000;
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    Machine entry = makeMachine(1, "catalogue", "north-a", "north");
    Machine orders = makeMachine(2, "orders", "north-b", "north");
    std::atomic<int> runs{0};
    Backend one(record, entry, "i-catalogue1", [&](const Message &request) {
        if (request.target() == "/lookup/slow") {
            record.line("run: " + request.field("x-chervilmount-attempt-id") + " begins");
            ++runs;
            sleepFor(WorkMilliseconds);
        }
        return one.answer(request, 200, "", "found");
    });
    Backend two(record, orders, "i-orders1", [&](const Message &request) {
        record.line("run: " + request.field("x-chervilmount-attempt-id") + ", body of "
                    + std::to_string(request.m_body.size()) + " bytes");
        return two.answer(request, 200, "", "stored");
    });
    fleet.start(entry);
    fleet.start(orders);
    if (!waitUntilReady(entry, 20000) || !waitUntilReady(orders, 20000))
        return record.line("could not run"), 2;
    sleepFor(3500); // contact_s, so that the machines are in touch
    MemoryWatch platform(record, entry);
    KeptClients clients(record, entry, Clients);
    const bool isPrepared = clients.waitUntilRunning(runs, 5000);
    if (isPrepared) {
        const std::size_t bytes = hasTrouble() ? LargestBody : UsualBody;
        record.line("sent: upload, body of " + std::to_string(bytes) + " bytes");
        const Message answer = call(entry.m_outbound,
                                    requestHead("POST", "/upload/1", "upload", 20000) + "Content-Length: "
                                            + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'),
                                    20000);
        record.line(answer.status() == 0 ? "no answer: upload, the connection was closed"
                                         : "answer: upload " + std::to_string(answer.status()) + " " + answer.m_body);
    }
    clients.join();
    platform.stop();
    if (!isPrepared)
        return record.line("could not run"), 2;
    return clients.isBroken() ? 1 : 0;
}
