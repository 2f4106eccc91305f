// Case: a backend server's own 503, 429, 408 or 421 after it has run a once-only request is passed on, where it means
// "not run".
#include "config.h"
#include "standin.h"

using namespace standin;

int main(int argc, char **argv)
{
    constexpr int Machines = 8;
    constexpr int Rounds = 15;
    const std::vector<int> Statuses{503, 429, 408, 421};
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7));
    Fleet fleet(record, storeAddress);
    std::vector<Machine> machines;
    for (int number = 0; number < Machines; ++number)
        machines.push_back(makeMachine(1 + number, "orders", number % 2 == 0 ? "north-a" : "north-b", "north"));
    std::mutex mutex;
    std::set<std::string> ran;
    std::size_t runsOfFaulty = 0;
    std::size_t failures = 0;
    std::vector<std::unique_ptr<Backend>> backends(machines.size());
    // One backend of eight (0.125) fails two of five requests (0.4).
    const auto serve = [&](std::size_t number, const Message &request) {
        const std::string id = request.field("x-chervilmount-attempt-id");
        sleepFor(20);
        int status = 200;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            ran.insert(id);
            if (number == 0 && ++runsOfFaulty % 5 >= 3)
                status = hasTrouble() ? Statuses.at(failures++ % Statuses.size()) : 500;
        }
        record.line("run: " + id + " at backend " + std::to_string(number) + ", answered " + std::to_string(status)
                    + ", without Not-Executed");
        return backends[number]->answer(request, status, "", "the order is booked");
    };
    for (std::size_t number = 0; number < machines.size(); ++number)
        backends[number] = std::make_unique<Backend>(record, machines[number], "i-orders" + std::to_string(number),
                                                     [&serve, number](const Message &request) {
                                                         return serve(number, request);
                                                     });
    for (Machine &machine : machines)
        fleet.start(machine);
    for (const Machine &machine : machines) {
        if (!waitUntilReady(machine, 20000))
            return record.line("could not run"), 2;
    }
    sleepFor(3500);
    int broken = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t number = 0; number < machines.size(); ++number) {
            const std::string id = "order" + std::to_string(round) + "-" + std::to_string(number);
            const Message answer = call(
                    machines[number].m_outbound,
                    requestHead("POST", "/order/1", id, 6000) + "Content-Length: 4\r\n\r\nbody", 7000);
            const std::lock_guard<std::mutex> lock(mutex);
            const int status = answer.status();
            record.line("answer: " + id + " " + std::to_string(status));
            if (ran.contains(id) && (status == 429 || status == 503 || status == 408 || status == 421)) {
                record.line("BROKEN REFUSED: " + id + " was answered " + std::to_string(status) + " and has run");
                ++broken;
            }
        }
    }
    if (runsOfFaulty < 3)
        return record.line("could not run"), 2;
    record.line((broken > 0 ? "broken: " : "held: ") + std::to_string(broken) + " of " + std::to_string(ran.size())
                + " orders were refused and have run");
    return broken > 0 ? 1 : 0;
}
