#include "sharedstate/rates/rategroup.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/** A reported demand expires after this time. */
constexpr milliseconds DemandLifetime{600};
/** Unused borrowed tokens are returned this long before they expire. */
constexpr milliseconds ReturnBefore{250};
constexpr milliseconds BorrowInterval{50};
/** Borrowing aims at this many seconds of demand. */
constexpr double BorrowSeconds = 0.4;
/** A lender reserves this many seconds of its own demand. */
constexpr double ReserveSeconds = 0.2;
/** A group borrows when its available tokens fall below this fraction of its cap. */
constexpr double ShortFraction = 0.2;
/** Lenders asked per round; those that granted most in the last round come first. */
constexpr std::size_t LendersAtOnce = 6;

std::uint32_t borrowedLeft(const GroupOrganisation &held, TimePoint now)
{
    std::uint32_t left = 0;
    for (const auto &[key, grant] : held.m_borrowed)
        left += now < grant.m_expires ? grant.m_left : 0;
    return left;
}

double demandOf(const GroupOrganisation &held)
{
    double demand = 0.0;
    for (const auto &[node, entry] : held.m_demands)
        demand += entry.m_rate;
    return demand;
}

void reportSubGrant(GroupOrganisation &held, std::uint64_t number, const GrantReport &report,
                    TimePoint now)
{
    const std::map<std::uint64_t, SubGrant>::iterator found = held.m_subGrants.find(number);
    if (found == held.m_subGrants.end())
        return;
    OutstandingGrant &use = found->second.m_use;
    const std::uint32_t left = use.m_tokens - use.m_spent - use.m_returned;
    const std::uint32_t spent = std::min(left, std::max(use.m_spent, report.m_spent) - use.m_spent);
    const std::uint32_t returned =
            std::min(left - spent, std::max(use.m_returned, report.m_returned) - use.m_returned);
    use.m_spent += spent;
    use.m_returned += returned;
    const std::map<std::uint64_t, BorrowedGrant>::iterator source =
            held.m_borrowed.find(found->second.m_borrowed);
    if (source == held.m_borrowed.end() || now >= source->second.m_expires)
        return;
    source->second.m_spent += spent;
    source->second.m_changed = true;
    source->second.m_left += returned;
}

void applyReports(RateGroupState &state, GroupOrganisation &held, const GrantRequest &request,
                  TimePoint now, const RateFaults &faults)
{
    for (const GrantReport &report : request.m_reports) {
        if (report.m_epoch != state.m_epoch)
            continue;
        applyReport(held.m_bucket, report, now, faults);
        reportSubGrant(held, report.m_grant, report, now);
    }
}

Grant answerTo(const RateGroupState &state, const GrantRequest &request)
{
    Grant grant;
    grant.m_organisation = request.m_organisation;
    grant.m_group = state.m_group;
    grant.m_to = request.m_from;
    grant.m_borrower = request.m_borrower;
    grant.m_request = request.m_request;
    grant.m_epoch = state.m_epoch;
    return grant;
}

/** Grants borrowed tokens, limited to the remaining lifetime of the borrowed grant. */
std::uint32_t grantBorrowedTokens(RateGroupState &state, GroupOrganisation &held,
                                  const GrantRequest &request, std::uint32_t wanted, TimePoint now,
                                  RateGroupEffects &effects)
{
    std::uint32_t granted = 0;
    for (auto &[key, source] : held.m_borrowed) {
        const milliseconds rest = std::chrono::duration_cast<milliseconds>(source.m_expires - now);
        if (granted == wanted || source.m_left == 0 || rest <= milliseconds(0))
            continue;
        Grant grant = answerTo(state, request);
        grant.m_grant = state.m_nextNumber++;
        grant.m_tokens = std::min(source.m_left, wanted - granted);
        // The receiver counts from when it sent the request, so the grant expires earlier there.
        grant.m_lifetime = rest;
        source.m_left -= grant.m_tokens;
        granted += grant.m_tokens;
        held.m_subGrants[grant.m_grant] = {key, {grant.m_tokens, 0, 0, source.m_expires}};
        effects.m_grants.push_back(grant);
    }
    return granted;
}

/** @returns how many tokens of the own bucket may be granted to this request. */
std::uint32_t offered(const GroupOrganisation &held, const GrantRequest &request)
{
    if (request.m_borrower.empty())
        return request.m_tokens;
    const double spare = held.m_bucket.m_level - demandOf(held) * ReserveSeconds;
    return std::min(request.m_tokens, static_cast<std::uint32_t>(std::max(0.0, spare)));
}

std::vector<GrantReport> reportsTo(GroupOrganisation &held, const std::string &lender,
                                   TimePoint now)
{
    std::vector<GrantReport> reports;
    for (auto &[key, grant] : held.m_borrowed) {
        if (grant.m_lender != lender || now >= grant.m_expires)
            continue;
        if (grant.m_left > 0 && grant.m_expires - now < ReturnBefore) {
            grant.m_returned += std::exchange(grant.m_left, 0);
            grant.m_changed = true;
        }
        if (std::exchange(grant.m_changed, false))
            reports.push_back({grant.m_epoch, grant.m_grant, grant.m_spent, grant.m_returned});
    }
    return reports;
}

void borrow(RateGroupState &state, const std::string &organisation, GroupOrganisation &held,
            TimePoint now, std::mt19937_64 &random, RateGroupEffects &effects)
{
    const double available = held.m_bucket.m_level + borrowedLeft(held, now);
    const double target = demandOf(held) * BorrowSeconds;
    const bool isShort = available < std::max(ShortFraction * held.m_bucket.m_share.m_cap, target)
            && target > available;
    const double missing = isShort ? std::max(1.0, target - available) : 0.0;
    std::shuffle(held.m_lenders.begin(), held.m_lenders.end(), random);
    std::stable_sort(held.m_lenders.begin(), held.m_lenders.end(),
                     [](const LenderGroup &first, const LenderGroup &second) {
                         return first.m_lastGranted > second.m_lastGranted;
                     });
    const std::size_t count = std::min(LendersAtOnce, held.m_lenders.size());
    for (std::size_t index = 0; index < held.m_lenders.size(); ++index) {
        LenderGroup &lender = held.m_lenders[index];
        GrantRequest request;
        request.m_reports = reportsTo(held, lender.m_group, now);
        if (index < count)
            request.m_tokens =
                    static_cast<std::uint32_t>(std::ceil(missing / static_cast<double>(count)));
        if (request.m_tokens == 0 && request.m_reports.empty())
            continue;
        request.m_organisation = organisation;
        request.m_group = lender.m_group;
        request.m_from = state.m_self;
        request.m_borrower = state.m_group;
        request.m_request = state.m_nextNumber++;
        // Until it answers, a lender ranks behind those that did.
        lender.m_lastGranted /= 2;
        held.m_requests[request.m_request] = now;
        effects.m_requests.push_back(std::move(request));
    }
}

void forgetExpired(GroupOrganisation &held, TimePoint now)
{
    std::erase_if(held.m_borrowed,
                  [now](const auto &entry) { return now >= entry.second.m_expires; });
    std::erase_if(held.m_subGrants,
                  [now](const auto &entry) { return now >= entry.second.m_use.m_expires; });
    std::erase_if(held.m_requests,
                  [now](const auto &entry) { return now >= entry.second + GrantLifetime; });
    std::erase_if(held.m_demands, [now](const auto &entry) {
        return now >= entry.second.m_reported + DemandLifetime;
    });
}

} // namespace

void startEpoch(RateGroupState &state, std::uint64_t epoch,
                const std::map<std::string, GroupPlan> &plans, TimePoint now,
                const RateFaults &faults)
{
    state.m_epoch = epoch;
    state.m_organisations.clear();
    const milliseconds margin{static_cast<int>(GrantLifetime.count() * GrantExpiryMargin)};
    state.m_usableFrom = faults.m_grantBeforeExpiry ? now : now + GrantLifetime + margin;
    for (const auto &[name, plan] : plans) {
        GroupOrganisation &held = state.m_organisations[name];
        held.m_bucket.m_share = plan.m_share;
        held.m_bucket.m_refilled = state.m_usableFrom;
        if (faults.m_grantBeforeExpiry)
            held.m_bucket.m_level = plan.m_share.m_cap;
        for (const std::string &lender : plan.m_lenders)
            held.m_lenders.push_back({lender, 0});
    }
}

void changePlans(RateGroupState &state, const std::map<std::string, GroupPlan> &plans,
                 TimePoint now)
{
    std::erase_if(state.m_organisations,
                  [&plans](const auto &entry) { return !plans.contains(entry.first); });
    for (const auto &[name, plan] : plans) {
        const bool isNew = !state.m_organisations.contains(name);
        GroupOrganisation &held = state.m_organisations[name];
        if (isNew)
            held.m_bucket.m_refilled = std::max(now, state.m_usableFrom);
        changeShare(held.m_bucket, plan.m_share, now);
        held.m_lenders.clear();
        for (const std::string &lender : plan.m_lenders)
            held.m_lenders.push_back({lender, 0});
    }
}

RateGroupEffects grantRequested(RateGroupState &state, const GrantRequest &request, TimePoint now,
                                std::mt19937_64 &random, const RateFaults &faults)
{
    RateGroupEffects effects;
    const std::map<std::string, GroupOrganisation>::iterator found =
            state.m_organisations.find(request.m_organisation);
    if (found == state.m_organisations.end())
        return effects;
    GroupOrganisation &held = found->second;
    applyReports(state, held, request, now, faults);
    if (request.m_borrower.empty())
        held.m_demands[request.m_from] = {request.m_demand, now};
    if (request.m_tokens == 0)
        return effects;
    std::uint32_t granted = 0;
    if (now >= state.m_usableFrom) {
        refill(held.m_bucket, now, faults);
        Grant grant = answerTo(state, request);
        grant.m_grant = state.m_nextNumber++;
        grant.m_tokens = issueGrant(held.m_bucket, grant.m_grant, offered(held, request),
                                    GrantLifetime, now, faults);
        grant.m_lifetime = GrantLifetime;
        granted = grant.m_tokens;
        if (granted > 0)
            effects.m_grants.push_back(grant);
    }
    // Borrowed tokens are never lent on: each loan has exactly one lender and one borrower.
    if (granted < request.m_tokens && request.m_borrower.empty())
        granted +=
                grantBorrowedTokens(state, held, request, request.m_tokens - granted, now, effects);
    if (granted == 0)
        effects.m_grants.push_back(answerTo(state, request));
    if (granted < request.m_tokens && request.m_borrower.empty() && now >= held.m_nextBorrow) {
        held.m_nextBorrow = now + BorrowInterval;
        borrow(state, request.m_organisation, held, now, random, effects);
    }
    return effects;
}

void borrowedGrantReceived(RateGroupState &state, const Grant &grant, TimePoint now)
{
    const std::map<std::string, GroupOrganisation>::iterator found =
            state.m_organisations.find(grant.m_organisation);
    if (found == state.m_organisations.end())
        return;
    GroupOrganisation &held = found->second;
    const std::map<std::uint64_t, TimePoint>::iterator request =
            held.m_requests.find(grant.m_request);
    if (request == held.m_requests.end())
        return;
    const TimePoint expires = request->second + grant.m_lifetime;
    held.m_requests.erase(request);
    for (LenderGroup &lender : held.m_lenders) {
        if (lender.m_group == grant.m_group)
            lender.m_lastGranted = grant.m_tokens;
    }
    if (grant.m_tokens == 0 || now >= expires)
        return;
    held.m_borrowed[state.m_nextNumber++] = {
            grant.m_group, grant.m_epoch, grant.m_grant, grant.m_tokens, 0, 0, false, expires};
}

RateGroupEffects rateGroupTick(RateGroupState &state, TimePoint now, std::mt19937_64 &random,
                               const RateFaults &faults)
{
    RateGroupEffects effects;
    for (auto &[name, held] : state.m_organisations) {
        refill(held.m_bucket, now, faults);
        forgetExpired(held, now);
        if (now < held.m_nextBorrow)
            continue;
        held.m_nextBorrow = now + BorrowInterval;
        borrow(state, name, held, now, random, effects);
    }
    return effects;
}

} // namespace chervilmount::sharedstate
