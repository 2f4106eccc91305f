// Some backend servers run requests and their answers are lost. The tenant's tokens of these requests are given back.

#include "../standin-2/quota.h"

using namespace standin;

namespace {

int runCase()
{
    Record record("review/8/record.txt");
    QuotaPlan plan;
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
        record.say("the backend servers run all requests, but leave 0.45 of them unanswered for 6.5 s");
        for (Backend *backend : fleet.m_backends)
            backend->m_lostShare = 0.45;
        std::this_thread::sleep_for(Milliseconds{6500});
        for (Backend *backend : fleet.m_backends)
            backend->m_lostShare = 0.0;
        record.say("the backend servers answer all requests again");
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
