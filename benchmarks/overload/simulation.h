#pragma once

#include "benchmarks/overload/deployment.h"
#include "benchmarks/overload/measures.h"
#include "benchmarks/overload/scenarios.h"
#include "benchmarks/overload/variants.h"
#include "overload/overload.h"
#include "routing/routing.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <vector>

namespace chervilmount::scenarios {

using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::nanoseconds;

constexpr std::uint32_t None = 0xffffffff;
/** Start of each run; differs from the epoch, which several structs use as "never". */
constexpr Time RunStart{std::chrono::hours{1}};

enum class EventKind : std::uint8_t {
    NextArrival,
    RequestAtEntry,
    AttemptAtServer,
    WorkDone,
    ResponseAtCaller,
    AttemptDeadline,
    CancelAtServer,
    RetryCall,
    Tick,
    FaultBegins,
    FaultEnds,
    DomainMasked,
    CallerRepeats
};

struct Event
{
    Time m_at;
    std::uint64_t m_sequence = 0;
    EventKind m_kind = EventKind::Tick;
    std::uint32_t m_subject = 0;
    std::uint32_t m_detail = 0;
};

struct LaterEvent
{
    bool operator()(const Event &left, const Event &right) const
    {
        return left.m_at != right.m_at ? left.m_at > right.m_at
                                       : left.m_sequence > right.m_sequence;
    }
};

/** One request at an entry node; a repeat by the caller is a separate request. */
struct Request
{
    std::uint32_t m_original = None;
    int m_entry = 0;
    int m_repeat = 0;
    overload::Rank m_rank = 0;
    bool m_ranked = false;
    Time m_enteredAt;
    Time m_deadline;
    overload::AttemptAllowance m_allowance;
    std::uint32_t m_servicesCalled = 0;
    int m_attempts = 0;
    double m_slotSeconds = 0.0;
    bool m_ended = false;
    bool m_succeeded = false;
};

enum class Outcome : std::uint8_t { Success, NotRun, Error, FurtherDown };

/** One call in the call tree; may need several attempts. */
struct Call
{
    std::uint32_t m_request = None;
    /** Attempt that makes this nested call; None at the entry node. */
    std::uint32_t m_parent = None;
    int m_node = 0;
    int m_service = 0;
    int m_hopRetriesLeft = 0;
    int m_triedCount = 0;
    std::array<std::uint32_t, 6> m_tried{};
    std::uint32_t m_openAttempt = None;
    overload::AttemptAllowance m_nextAllowance;
    bool m_ended = false;
};

enum class AttemptState : std::uint8_t {
    Travelling,
    Waiting,
    /** In the backend server's own queue; only without control. */
    AtServerQueue,
    Working,
    Nested,
    Done
};

struct Attempt
{
    std::uint32_t m_call = None;
    int m_server = 0;
    std::uint32_t m_candidate = 0;
    overload::AttemptAllowance m_handedOver;
    overload::AttemptAllowance m_allowance;
    Time m_startedAt;
    Time m_nestedSince;
    Duration m_nestedTime{0};
    std::uint32_t m_nestedIndex = 0;
    std::uint32_t m_nestedCall = None;
    std::uint32_t m_positionAtServer = None;
    AttemptState m_state = AttemptState::Travelling;
    bool m_closedAtCaller = false;
    Outcome m_outcome = Outcome::Success;
    double m_carriedLoad = 0.0;
    overload::Rank m_carriedThreshold = overload::HighestRank;
    bool m_hasReport = false;
};

/** A node in its role as caller. */
struct Node
{
    int m_domain = 0;
    std::vector<routing::ServiceCandidates> m_candidates;
    /** Backend server of each candidate, by service. */
    std::vector<std::vector<int>> m_serverOf;
    std::vector<overload::RetryBudget> m_budgets;
    std::vector<std::uint32_t> m_roundRobin;
    std::array<overload::UsageMeter, Organisations> m_usage;
    routing::LinkBudget m_link;
};

struct Server
{
    int m_service = 0;
    int m_domain = 0;
    overload::Admission m_admission;
    /** Calls that hold a slot of the backend server. */
    int m_running = 0;
    std::deque<std::uint32_t> m_ownQueue;
    /** Attempts that have arrived and not ended. */
    std::vector<std::uint32_t> m_present;
    bool m_tickSoon = false;
    bool m_lost = false;
};

/** State of one run; implemented in simulation*.cpp and callers.cpp. */
struct Simulation
{
    const Deployment &m_deployment;
    const Scenario &m_scenario;
    const Variant &m_variant;
    Time m_now = RunStart;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events{};
    /** Separate random streams, so that all variants get the same arrivals. */
    std::mt19937_64 m_arrivalRandom{};
    std::mt19937_64 m_workRandom{};
    std::mt19937_64 m_decisionRandom{};
    std::vector<Original> m_originals{};
    std::vector<Request> m_requests{};
    std::vector<Call> m_calls{};
    std::vector<Attempt> m_attempts{};
    std::vector<Node> m_nodes{};
    std::vector<Server> m_servers{};
    std::array<double, Organisations> m_rateTokens{};
    std::array<Time, Organisations> m_rateRefilled{};
    routing::RoutingSettings m_routing{};
    overload::RetryBudgetSettings m_budgetSettings{};
    RunTotals m_totals{};
};

/**
 * Runs a scenario in virtual time. The same arguments give the same measures.
 * @param records if not null, receives the requests that passed the rate enforcement.
 */
Measures runScenario(const Deployment &deployment, const Scenario &scenario, const Variant &variant,
                     std::uint64_t seed, std::vector<RequestRecord> *records = nullptr);

// Parts of the simulation.
void schedule(Simulation &simulation, Duration delay, EventKind kind, std::uint32_t subject,
              std::uint32_t detail = 0);
bool faultActive(const Simulation &simulation, const Fault &fault);
bool domainIsLost(const Simulation &simulation, int domain);
Duration latencyBetween(const Deployment &deployment, int fromDomain, int toDomain);

void setUpNodes(Simulation &simulation);
overload::AdmissionSettings admissionSettings(const Simulation &simulation, int service);
void beginFault(Simulation &simulation, const Fault &fault);
void endFault(Simulation &simulation, const Fault &fault);
void maskDomain(Simulation &simulation, int domain, bool masked);

void startArrivals(Simulation &simulation);
void nextArrival(Simulation &simulation, int organisation);
void requestAtEntry(Simulation &simulation, std::uint32_t request);
void endRequest(Simulation &simulation, std::uint32_t request, bool succeeded);
void callerRepeats(Simulation &simulation, std::uint32_t original, std::uint32_t repeat);

void beginCall(Simulation &simulation, std::uint32_t request, std::uint32_t parent, int node,
               int service);
void retryCall(Simulation &simulation, std::uint32_t call);
void responseAtCaller(Simulation &simulation, std::uint32_t attempt);
void attemptDeadline(Simulation &simulation, std::uint32_t attempt);
void abandonCall(Simulation &simulation, std::uint32_t call);

void attemptAtServer(Simulation &simulation, std::uint32_t attempt);
void workDone(Simulation &simulation, std::uint32_t attempt);
void nestedCallEnded(Simulation &simulation, std::uint32_t attempt, bool succeeded);
void cancelAtServer(Simulation &simulation, std::uint32_t attempt);
void tickServer(Simulation &simulation, std::uint32_t server);
void dropAllWork(Simulation &simulation, int server);

} // namespace chervilmount::scenarios
