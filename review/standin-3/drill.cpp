// Case: after a drill of the store, a config that was acknowledged is never taken over.
#include "config.h"
#include "standin.h"

using namespace standin;

namespace {

const std::string WithdrawnKey = "8pjbvk9m68k7b2ex5wa5";
const std::string RemovedRoute = R"(,["r-promotion","hulo84.example","/promotion/","idempotent",6,1.5,2,null,2,false,"catalogue"])";

} // namespace

int main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(argc > 1 ? argv[1] : "record.txt");
    const std::string storeAddress = loopback(200) + ":" + std::to_string(freePort(loopback(200)));
    Store store(storeAddress);
    store.putConfig(config(7, RemovedRoute, ",\"" + WithdrawnKey + "\""));
    Fleet fleet(record, storeAddress);
    std::vector<Machine> machines;
    machines.push_back(makeMachine(1, "catalogue", "north-a", "north"));
    machines.push_back(makeMachine(2, "orders", "north-b", "north"));
    machines.push_back(makeMachine(3, "catalogue", "south-a", "south"));
    machines.push_back(makeMachine(4, "orders", "south-b", "south"));
    std::mutex mutex;
    std::set<std::string> ran;
    std::vector<std::unique_ptr<Backend>> backends(machines.size());
    for (std::size_t number = 0; number < machines.size(); ++number) {
        backends[number] = std::make_unique<Backend>(
                record, machines[number], "i-backend" + std::to_string(number), [&, number](const Message &request) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    ran.insert(request.field("x-chervilmount-attempt-id"));
                    return backends[number]->answer(request, 200, "", "ok");
                });
    }
    for (Machine &machine : machines)
        fleet.start(machine);
    for (const Machine &machine : machines) {
        if (!waitUntilReady(machine, 20000))
            return record.line("could not run"), 2;
    }
    const auto ask = [&](const Machine &machine, const std::string &path, const std::string &key,
                         const std::string &id) {
        const Message answer = call(machine.m_outbound, requestHead("GET", path, id, 6000, key) + "\r\n", 7000);
        const std::lock_guard<std::mutex> lock(mutex);
        record.line("request " + id + " at " + machine.m_name + ": answer " + std::to_string(answer.status())
                    + (ran.contains(id) ? ", a backend has run it" : ", not run"));
        return ran.contains(id);
    };
    // The fleet has settled once nothing has been written for some seconds.
    const Clock::time_point settled = Clock::now() + std::chrono::seconds(40);
    while (Clock::now() - store.lastWrite() < std::chrono::seconds(6)) {
        if (Clock::now() > settled)
            return record.line("could not run"), 2;
        sleepFor(100);
    }
    for (const Machine &machine : machines) {
        if (!ask(machine, "/promotion/1", Key, "route-before-" + machine.m_name)
            || !ask(machine, "/lookup/1", WithdrawnKey, "key-before-" + machine.m_name))
            return record.line("could not run"), 2;
    }

    // Planned work: one backend leaves, and the operator publishes a config without the route and without one of the tenant's
    // keys.
    const std::int64_t before = store.version();
    if (!backends[2]->drain(4000))
        return record.line("could not run"), 2;
    record.line("backend 2 leaves and is acknowledged; versions of the store " + std::to_string(before) + " to "
                + std::to_string(store.version()));
    sleepFor(1500);
    const auto publish = [&] {
        const std::int64_t version = store.putConfig(config(9));
        record.line("operator: r9 without the route and the key is acknowledged, version " + std::to_string(version)
                    + " of the store");
    };
    if (hasTrouble()) {
        record.line("drill: the store is away for 0.3 s and comes back from a copy of 3 s ago");
        store.drill(Milliseconds(300), Milliseconds(3000), publish);
    } else {
        publish();
    }

    // config_apply_s 2, contact_s 3 after the disturbance, max_stretch_s 5: after 10 s nothing excuses an older config.
    sleepFor(12000);
    int stale = 0;
    for (int round = 0; round < 3; ++round) {
        const std::string after = "-after" + std::to_string(round) + "-";
        for (const Machine &machine : machines) {
            stale += ask(machine, "/promotion/1", Key, "route" + after + machine.m_name) ? 1 : 0;
            stale += ask(machine, "/lookup/1", WithdrawnKey, "key" + after + machine.m_name) ? 1 : 0;
        }
        sleepFor(3000);
    }
    record.line((stale > 0 ? "BROKEN CONFIG: " : "held: ") + std::to_string(stale)
                + " requests run on the removed route or with the withdrawn key, more than 10 s after r9 was acknowledged");
    return stale > 0 ? 1 : 0;
}
