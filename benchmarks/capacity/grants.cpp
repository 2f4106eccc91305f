#include "sharedstate/sharedstate.h"

#include <cstdio>
#include <random>
#include <string>

using namespace chervilmount::sharedstate;
using std::chrono::milliseconds;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

constexpr milliseconds Step{10};
constexpr milliseconds GroupTick{50};
constexpr std::chrono::seconds Warmup{5};
constexpr std::chrono::seconds Duration{30};
constexpr double Overhead = 62;

/** Estimated protobuf sizes: names with two bytes each, numbers as varints, 12 bytes a report. */
double sizeOf(const GrantRequest &request)
{
    return 4.0
            + static_cast<double>(request.m_organisation.size() + request.m_group.size()
                                  + request.m_from.size() + request.m_borrower.size())
            + 6.0 + 18.0 + 12.0 * static_cast<double>(request.m_reports.size());
}

struct Result
{
    double m_messages = 0;
    double m_bytes = 0;
    double m_admitted = 0;
    double m_refused = 0;
};

/** Simulates one entry node and the holder of its group in virtual time, one step apart. */
Result measure(std::size_t organisations, double requestsPerSecond)
{
    std::mt19937_64 random(5);
    RateGroupState group;
    RateEntryState entry;
    group.m_group = "rates/domain-3/12";
    group.m_self = "domain-3/10.3.0.1:7400";
    entry.m_self = "domain-3/10.3.0.2:7400";
    std::map<std::string, GroupPlan> plans;
    for (std::size_t i = 0; i < organisations; ++i) {
        const std::string name = "organisation-" + std::to_string(i);
        plans[name] = {{1e6, 1e6}, {}};
        entry.m_organisations[name].m_groups = {group.m_group};
    }
    TimePoint now{std::chrono::hours(1)};
    startEpoch(group, 1, plans, now);
    Result result;
    std::poisson_distribution<int> arrivals(requestsPerSecond * 0.001 * Step.count());
    const TimePoint begin = now + Warmup;
    std::uint64_t call = 0;
    for (std::size_t step = 0; now < begin + Duration; ++step, now += Step) {
        const bool counted = now >= begin;
        const auto handle = [&](const RateEntryEffects &effects, const auto &self) -> void {
            result.m_admitted += counted ? static_cast<double>(effects.m_admitted.size()) : 0;
            result.m_refused += counted ? static_cast<double>(effects.m_refused.size()) : 0;
            for (const GrantRequest &request : effects.m_requests) {
                result.m_messages += counted ? 1 : 0;
                result.m_bytes += counted ? sizeOf(request) + Overhead : 0;
                for (const Grant &grant :
                     grantRequested(group, request, now + milliseconds(1), random).m_grants) {
                    self(grantReceived(entry, grant, now + milliseconds(2)), self);
                }
            }
        };
        for (int i = arrivals(random); i > 0; --i) {
            const std::string name = "organisation-" + std::to_string(random() % organisations);
            handle(requestArrived(entry, ++call, name, now), handle);
        }
        handle(rateEntryTick(entry, now + milliseconds(3)), handle);
        if (step % (GroupTick / Step) == 0)
            rateGroupTick(group, now + milliseconds(4), random);
    }
    const double seconds = Duration.count();
    return {result.m_messages / seconds, result.m_bytes / seconds, result.m_admitted / seconds,
            result.m_refused / seconds};
}

} // namespace

/** Grant requests sent by one entry node, by active organisations and requests per second. */
int main()
{
    std::printf("%13s %11s %10s %10s %10s %10s\n", "organisations", "requests/s", "grant msg/s",
                "B/s sent", "admitted/s", "refused/s");
    for (const double rate : {20.0, 280.0}) {
        for (const std::size_t organisations : {1, 10, 30, 100, 300}) {
            const Result result = measure(organisations, rate);
            std::printf("%13zu %11.0f %10.1f %10.0f %10.1f %10.2f\n", organisations, rate,
                        result.m_messages, result.m_bytes, result.m_admitted, result.m_refused);
        }
    }
    return 0;
}
