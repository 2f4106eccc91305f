// The store is silent while many processes are killed and started again. Each of them then divides the tenant's
// allotment only among itself and the nodes that have survived.

#include "../standin-2/quota.h"

using namespace standin;

namespace {

int runCase()
{
    Record record("review/9/record.txt");
    QuotaPlan plan;
    plan.m_nodes = 8;
    plan.m_ratePerSecond = 60.0;
    plan.m_seconds = 20.0;
    QuotaCase fleet(record, plan);
    if (!fleet.start()) {
        record.say("the nodes did not become ready");
        return 2;
    }
    record.say("load begins");
    std::thread trouble([&] {
        if (!hasTrouble())
            return;
        std::this_thread::sleep_for(Milliseconds{6000});
        record.say("the store is silent for 4.5 s");
        fleet.m_store.setDown(true);
        std::this_thread::sleep_for(Milliseconds{200});
        record.say("6 of 8 node processes are killed at once and start again after 0.5 s");
        for (std::size_t index = 0; index < 6; ++index)
            fleet.m_nodes[index]->kill();
        std::this_thread::sleep_for(Milliseconds{500});
        for (std::size_t index = 0; index < 6; ++index)
            fleet.m_nodes[index]->start();
        std::this_thread::sleep_for(Milliseconds{3800});
        fleet.m_store.setDown(false);
        record.say("the store is back");
    });
    fleet.load();
    trouble.join();
    const bool held = fleet.judge();
    record.say(held ? "the rule held" : "the rule was broken");
    record.flush();
    return held ? 0 : 1;
}

} // namespace

int main()
{
    // Threads of the stand-ins still run, so nothing is destroyed.
    std::_Exit(runCase());
}
