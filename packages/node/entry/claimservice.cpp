#include "node/entry/claimservice.h"

#include "node/control/storeexecutor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace chervilmount::node {

using std::chrono::steady_clock;

ClaimService::ClaimService(const boost::asio::any_io_executor &executor,
                           adapters::PlatformClient &platform, std::mt19937_64 &random)
    : m_executor(executor)
    , m_platform(platform)
    , m_random(random)
    , m_changed(executor)
{
    boost::asio::co_spawn(m_executor, tick(), boost::asio::detached);
}

ClaimService::~ClaimService()
{
    *m_running = false;
}

adapters::Task<sharedstate::ClaimDecision> ClaimService::claim(sharedstate::ClaimWanted wanted)
{
    wanted.m_call = m_nextCall++;
    const std::uint64_t call = wanted.m_call;
    const std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(m_executor);
    m_waiters.emplace(call, waiter);
    handleEvent(wanted);
    while (!waiter->m_decision)
        co_await waiter->m_decided.wait();
    m_waiters.erase(call);
    co_return *waiter->m_decision;
}

void ClaimService::notRun(std::uint64_t call)
{
    handleEvent(sharedstate::CallNotRun{call});
}

void ClaimService::answered(std::uint64_t call, std::string response)
{
    handleEvent(sharedstate::CallAnswered{call, std::move(response)});
}

void ClaimService::outcomeUnknown(std::uint64_t call)
{
    handleEvent(sharedstate::CallOutcomeUnknown{call});
}

void ClaimService::handleEvent(const sharedstate::ClaimEvent &event)
{
    const sharedstate::ClaimEffects effects =
            sharedstate::step(m_state, event, steady_clock::now(), m_random);
    for (const sharedstate::StoreRequest &request : effects.m_store)
        boost::asio::co_spawn(m_executor, perform(request), boost::asio::detached);
    for (const sharedstate::ClaimDecision &decision : effects.m_decisions) {
        const auto waiter = m_waiters.find(decision.m_call);
        if (waiter == m_waiters.end() || waiter->second->m_decision)
            continue;
        waiter->second->m_decision = decision;
        waiter->second->m_decided.notify();
    }
    m_changed.notify();
}

adapters::Task<> ClaimService::perform(sharedstate::StoreRequest request)
{
    const std::shared_ptr<bool> running = m_running;
    const sharedstate::StoreResult result =
            co_await performStoreRequest(m_platform, std::move(request));
    if (*running)
        handleEvent(result);
}

adapters::Task<> ClaimService::tick()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        const steady_clock::time_point due = sharedstate::nextTick(m_state);
        if (due <= steady_clock::now())
            handleEvent(sharedstate::ClaimTick{});
        else
            co_await m_changed.waitUntil(due);
    }
}

} // namespace chervilmount::node
