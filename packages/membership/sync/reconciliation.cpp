#include "membership/sync/reconciliation.h"

#include "membership/domain/domainwatch.h"
#include "membership/step/recordflow.h"

#include <algorithm>
#include <xxhash.h>

namespace chervilmount::membership {

namespace {

/** The table is compared with those of the peers once it has not changed for this long. */
constexpr std::chrono::milliseconds StableTime{500};
/** Minimum interval between two digests to one peer. */
constexpr std::chrono::milliseconds DigestInterval{1000};
/** Time after which a difference is reconciled even if the table keeps changing. */
constexpr std::chrono::seconds MaximumDifferenceTime{10};

std::uint64_t viewsDigest(const MembershipState &state)
{
    std::uint64_t digest = 0;
    for (const DomainView &view : changedViews(state)) {
        const std::uint64_t seed = std::uint64_t{view.m_version} << 1 | (view.m_reachable ? 1 : 0);
        digest ^= XXH3_64bits_withSeed(view.m_failureDomain.data(), view.m_failureDomain.size(),
                                       seed);
    }
    return digest;
}

bool isDisabled(const MembershipState &state)
{
    const DisabledRule rule = state.m_settings.m_disabledRule;
    return rule == DisabledRule::Reconciliation || rule == DisabledRule::Dissemination;
}

} // namespace

std::uint64_t comparedDigest(const MembershipState &state, const NodeId &to)
{
    const bool sameDomain = to.m_failureDomain == state.m_self.m_id.m_failureDomain;
    return sameDomain ? state.m_table.digest() ^ viewsDigest(state) : state.m_table.digest();
}

void compareDigest(StepContext &context, const NodeId &from, PeerLink &link, std::uint64_t digest)
{
    const MembershipState &state = context.m_state;
    if (isDisabled(state) || digest == comparedDigest(state, from))
        return;
    const auto sinceDigest = context.m_now - link.m_digestSentAt;
    const bool stable = context.m_now - state.m_changedAt >= StableTime;
    if (sinceDigest < DigestInterval || (!stable && sinceDigest < MaximumDifferenceTime))
        return;
    if (state.m_bootstrap.m_transfer)
        return;
    link.m_digestSentAt = context.m_now;
    sendDigest(context, from, false);
}

void sendDigest(StepContext &context, const NodeId &to, bool wantsAnswer)
{
    const MembershipState &state = context.m_state;
    MemberDigest digest;
    for (const auto &[name, summary] : state.m_table.domains())
        digest.m_domains.push_back({name, summary});
    if (to.m_failureDomain == state.m_self.m_id.m_failureDomain)
        digest.m_domainViews = changedViews(state);
    digest.m_wantsAnswer = wantsAnswer;
    send(context, to, std::move(digest));
}

void receiveDigest(StepContext &context, const NodeId &from, const MemberDigest &digest)
{
    MembershipState &state = context.m_state;
    for (const DomainView &view : digest.m_domainViews)
        applyView(context, view);
    if (digest.m_wantsAnswer)
        sendDigest(context, from, false);
    if (isDisabled(state))
        return;
    std::map<std::string, DomainSummary> theirs;
    for (const MemberDigest::Domain &domain : digest.m_domains)
        theirs.emplace(domain.m_failureDomain, domain.m_summary);
    std::map<std::string, DomainSummary> domains = state.m_table.domains();
    for (const auto &[name, summary] : theirs)
        domains.try_emplace(name);
    for (const auto &[name, summary] : domains) {
        if (theirs[name] != summary) {
            send(context, from, MemberSyncBuckets{name, state.m_table.bucketDigests(name)});
            continue;
        }
        const auto watch = state.m_domains.find(name);
        if (watch != state.m_domains.end() && name == from.m_failureDomain)
            watch->second.m_digestsEqual = true;
    }
}

void receiveBuckets(StepContext &context, const NodeId &from, const MemberSyncBuckets &buckets)
{
    const MembershipState &state = context.m_state;
    const std::string &domain = buckets.m_failureDomain;
    const std::array<std::uint64_t, SyncBuckets> own = state.m_table.bucketDigests(domain);
    for (std::size_t bucket = 0; bucket < SyncBuckets; ++bucket) {
        if (own[bucket] == buckets.m_digests[bucket])
            continue;
        send(context, from,
             MemberSyncRecords{domain, static_cast<std::uint32_t>(bucket),
                               state.m_table.bucket(domain, bucket, context.m_now), true});
    }
}

void receiveRecords(StepContext &context, const NodeId &from, const MemberSyncRecords &records)
{
    const MembershipState &state = context.m_state;
    if (records.m_bucket >= SyncBuckets)
        return;
    const NodeKey sender = keyOf(from);
    for (const MemberRecord &record : records.m_records)
        applyRecord(context, record, sender);
    if (!records.m_wantsAnswer)
        return;
    MemberSyncRecords answer{records.m_failureDomain, records.m_bucket, {}, false};
    const std::vector<MemberRecord> own =
            state.m_table.bucket(records.m_failureDomain, records.m_bucket, context.m_now);
    for (const MemberRecord &record : own) {
        const auto same = [&](const MemberRecord &other) { return other.m_id == record.m_id; };
        const auto found = std::find_if(records.m_records.begin(), records.m_records.end(), same);
        if (found == records.m_records.end() || supersedes(record, *found))
            answer.m_records.push_back(record);
    }
    if (!answer.m_records.empty())
        send(context, from, std::move(answer));
}

} // namespace chervilmount::membership
