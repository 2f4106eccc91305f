#include "node/control/leaseservice.h"

#include "adapters/tasks/signal.h"
#include "node/control/storeexecutor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds TickInterval{200};

// Delay per rank before a candidate acquires a free lease, so that higher ranked ones come first.
constexpr std::chrono::milliseconds CandidateDelayStep{2000};

} // namespace

LeaseService::LeaseService(const boost::asio::any_io_executor &executor,
                           adapters::PlatformClient &platform, std::mt19937_64 &random,
                           SendMessage send)
    : m_executor(executor)
    , m_platform(platform)
    , m_random(random)
    , m_send(std::move(send))
{
}

LeaseService::~LeaseService()
{
    *m_running = false;
}

void LeaseService::start()
{
    boost::asio::co_spawn(m_executor, run(), boost::asio::detached);
}

void LeaseService::setCandidates(const sharedstate::NodeReference &self,
                                 const LeaseCandidates &candidates)
{
    for (const LeaseCandidates::value_type &entry : candidates) {
        const std::vector<sharedstate::NodeReference> &best = entry.second;
        const std::vector<sharedstate::NodeReference>::const_iterator own =
                std::find(best.begin(), best.end(), self);
        const bool known = m_states.contains(entry.first);
        if (own == best.end() && !known)
            continue;
        sharedstate::LeaseState &state = m_states[entry.first];
        if (!known || state.m_self != self) {
            // The state of a previous incarnation is invalid: the lease row names that incarnation.
            state = sharedstate::LeaseState();
            state.m_name = entry.first;
            state.m_self = self;
            state.m_leaving = m_leaving;
        }
        state.m_candidate = own != best.end();
        state.m_candidateDelay = CandidateDelayStep * (own - best.begin());
        state.m_preferredSuccessors.clear();
        for (const sharedstate::NodeReference &candidate : best) {
            if (candidate != self && state.m_preferredSuccessors.size() < 2)
                state.m_preferredSuccessors.push_back(candidate);
        }
    }
}

void LeaseService::receive(const messages::SharedStatePayload &payload)
{
    if (const sharedstate::LeasePromiseRequest *request =
                std::get_if<sharedstate::LeasePromiseRequest>(&payload)) {
        const auto state = m_states.find(request->m_lease);
        if (state != m_states.end())
            handleEvent(state->second, *request);
    } else if (const sharedstate::LeasePromise *promise =
                       std::get_if<sharedstate::LeasePromise>(&payload)) {
        const auto state = m_states.find(promise->m_lease);
        if (state != m_states.end())
            handleEvent(state->second, *promise);
    }
}

void LeaseService::releaseAll()
{
    m_leaving = true;
    for (std::pair<const std::string, sharedstate::LeaseState> &entry : m_states)
        entry.second.m_leaving = true;
}

bool LeaseService::holds(const std::string &lease, steady_clock::time_point now) const
{
    const auto state = m_states.find(lease);
    return state != m_states.end() && !m_leaving && sharedstate::holdsRight(state->second, now);
}

std::uint64_t LeaseService::epoch(const std::string &lease) const
{
    const auto state = m_states.find(lease);
    return state != m_states.end() && state->second.m_holding ? state->second.m_row->m_epoch : 0;
}

std::optional<std::string> LeaseService::holderOf(const std::string &lease) const
{
    const auto state = m_states.find(lease);
    if (state == m_states.end() || !state->second.m_row || !state->second.m_row->m_holder)
        return std::nullopt;
    return state->second.m_row->m_holder->m_node;
}

void LeaseService::handleEvent(sharedstate::LeaseState &state, const sharedstate::LeaseEvent &event)
{
    const sharedstate::LeaseEffects effects =
            sharedstate::step(state, event, steady_clock::now(), m_random);
    for (const sharedstate::StoreRequest &request : effects.m_store)
        boost::asio::co_spawn(m_executor, performRequest(state.m_name, request),
                              boost::asio::detached);
    for (const sharedstate::LeasePromiseRequest &request : effects.m_promiseRequests)
        m_send(request.m_successor.m_node, messages::SharedStateMessage{request});
    for (const sharedstate::LeasePromise &promise : effects.m_promises)
        m_send(promise.m_holder.m_node, messages::SharedStateMessage{promise});
}

adapters::Task<> LeaseService::run()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        for (std::pair<const std::string, sharedstate::LeaseState> &entry : m_states)
            handleEvent(entry.second, sharedstate::LeaseTick{});
        co_await adapters::sleepFor(TickInterval);
    }
}

adapters::Task<> LeaseService::performRequest(std::string lease, sharedstate::StoreRequest request)
{
    const std::shared_ptr<bool> running = m_running;
    const auto before = m_states.find(lease);
    const sharedstate::NodeReference self = before->second.m_self;
    const sharedstate::StoreResult result =
            co_await performStoreRequest(m_platform, std::move(request));
    if (!*running)
        co_return;
    const auto state = m_states.find(lease);
    if (state != m_states.end() && state->second.m_self == self)
        handleEvent(state->second, result);
}

} // namespace chervilmount::node
