// Case: the body of a request whose transfer coding does not end with "chunked" is run as a request of its own.
#include "config.h"
#include "standin.h"

using namespace standin;

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    Machine first = makeMachine(1, "catalogue", "north-a", "north");
    Machine second = makeMachine(2, "orders", "north-b", "north");
    std::mutex mutex;
    std::map<std::string, std::string> bodies; // of the requests that have run, by id
    const auto note = [&](const Message &request) {
        const std::string id = request.field("x-chervilmount-attempt-id");
        record.line("run: " + request.m_first + " id " + id + ", body of " + std::to_string(request.m_body.size())
                    + " bytes");
        const std::lock_guard<std::mutex> lock(mutex);
        bodies[id] = request.m_body;
    };
    Backend one(record, first, "i-catalogue1", [&](const Message &request) {
        note(request);
        return one.answer(request, 200, "", "ok");
    });
    Backend two(record, second, "i-orders1", [&](const Message &request) {
        note(request);
        return two.answer(request, 200, "", "ok");
    });
    fleet.start(first);
    fleet.start(second);
    if (!waitUntilReady(first, 20000) || !waitUntilReady(second, 20000))
        return record.line("could not run"), 2;
    sleepFor(3000);
    const Message calm = call(first.m_outbound,
                              requestHead("POST", "/order/0", "calm", 6000) + "Content-Length: 4\r\n\r\ncalm", 7000);
    record.line("calm request: answer " + std::to_string(calm.status()));
    if (calm.status() != 200)
        return record.line("could not run"), 2;

    // The body of request "outer" is the text of a request that no client sends.
    const std::string body = requestHead("GET", "/lookup/inner", "inner", 6000) + "\r\n";
    const std::string framing = hasTrouble() ? "Transfer-Encoding: chunked, identity\r\n\r\n"
                                             : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const int fd = connectTo(first.m_outbound);
    record.line("sent: POST /order/1 id outer, body of " + std::to_string(body.size()) + " bytes, "
                + framing.substr(0, framing.find('\r')));
    sendAll(fd, requestHead("POST", "/order/1", "outer", 6000) + framing + body);
    Reader reader(fd);
    Message answer;
    while (reader.message(answer, 3000))
        record.line("answer: " + std::to_string(answer.status()) + " id " + answer.field("x-chervilmount-attempt-id"));
    close(fd);

    const std::lock_guard<std::mutex> lock(mutex);
    bool broken = false;
    if (bodies.contains("inner")) {
        record.line("BROKEN UNASKED: a backend has run \"inner\", which was smuggled inside another request");
        broken = true;
    }
    if (bodies.contains("outer") && bodies["outer"] != body) {
        record.line("BROKEN UNASKED: a backend has run \"outer\" with its body changed");
        broken = true;
    }
    record.line(broken ? "broken" : "held");
    return broken ? 1 : 0;
}
