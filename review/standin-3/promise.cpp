// Case: a backend server's own 503 after it has run a once-only request is passed on, where it means "not run".
#include "config.h"
#include "standin.h"

using namespace standin;

int main(int argc, char **argv)
{
    constexpr int Requests = 5;
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    Machine first = makeMachine(1, "catalogue", "north-a", "north");
    Machine second = makeMachine(2, "orders", "north-b", "north");
    std::mutex mutex;
    std::set<std::string> ran;
    Backend one(record, first, "i-catalogue1",
                [&](const Message &request) { return one.answer(request, 200, "", "ok"); });
    Backend two(record, second, "i-orders1", [&](const Message &request) {
        const std::string id = request.field("x-chervilmount-attempt-id");
        const int status = hasTrouble() ? 503 : 500;
        sleepFor(100);
        record.line("run: " + id + ", fails with " + std::to_string(status) + ", without Not-Executed");
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ran.insert(id);
        }
        return two.answer(request, status, "", "the order was booked, its receipt could not be printed");
    });
    fleet.start(first);
    fleet.start(second);
    if (!waitUntilReady(first, 20000) || !waitUntilReady(second, 20000))
        return 2;
    sleepFor(3000);
    int broken = 0;
    for (int number = 0; number < Requests; ++number) {
        const std::string id = "order" + std::to_string(number);
        record.line("sent: POST /order/1 id " + id);
        const Message answer = call(first.m_outbound,
                                    requestHead("POST", "/order/1", id, 6000) + "Content-Length: 4\r\n\r\nbody", 7000);
        record.line("answer: " + id + " " + std::to_string(answer.status()) + ", seal \""
                    + answer.field("x-chervilmount-server-seal") + "\"");
        const std::lock_guard<std::mutex> lock(mutex);
        const int status = answer.status();
        if (ran.contains(id) && (status == 429 || status == 503 || status == 408 || status == 421)) {
            record.line("BROKEN REFUSED: " + id + " was answered " + std::to_string(status) + " and has run");
            ++broken;
        }
    }
    if (ran.empty())
        return 2;
    record.line(broken > 0 ? "broken" : "held");
    return broken > 0 ? 1 : 0;
}
