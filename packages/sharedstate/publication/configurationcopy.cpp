#include "sharedstate/publication/configurationcopy.h"

#include <algorithm>
#include <utility>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

constexpr milliseconds StoreTimeout{1000};
/** Ages are multiplied by this factor, because clock rates differ by up to 0.05 % each way. */
constexpr double AgeFactor = 1.001;

TimePoint::duration scaled(TimePoint::duration age)
{
    return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double, std::nano>(
            static_cast<double>(std::chrono::nanoseconds(age).count()) * AgeFactor));
}

/** An attestation also proves a newer copy: at its time not even that version was accepted. */
void applyProof(ConfigurationCopy &copy, const KnownAttestation &attestation)
{
    if (copy.m_version == 0 || copy.m_version < attestation.m_version)
        return;
    if (copy.m_proven && copy.m_provenAt >= attestation.m_time)
        return;
    copy.m_proven = true;
    copy.m_provenAt = attestation.m_time;
}

void forwardAttestation(ConfigurationCopy &copy, TimePoint now, CopyEffects &effects)
{
    copy.m_lastForwardedTime = copy.m_newestAttestation.m_time;
    const FreshnessAttestation attestation{
            copy.m_newestAttestation.m_epoch, copy.m_newestAttestation.m_version,
            copy.m_newestAttestation.m_hash, scaled(now - copy.m_newestAttestation.m_time)};
    for (const std::string &neighbour : copy.m_neighbours)
        effects.m_attestations.push_back({neighbour, attestation});
}

/** Records an attestation whose time is on the own clock, and forwards it if it is due. */
void recordAttestation(ConfigurationCopy &copy, const KnownAttestation &attestation, TimePoint now,
                       CopyEffects &effects)
{
    applyProof(copy, attestation);
    const bool newer = attestation.m_version > copy.m_newestAttestation.m_version;
    if (attestation.m_version < copy.m_newestAttestation.m_version
        || (!newer && attestation.m_time <= copy.m_newestAttestation.m_time))
        return;
    copy.m_newestAttestation = attestation;
    if (newer || attestation.m_time - copy.m_lastForwardedTime >= copy.m_settings.m_forwardStep)
        forwardAttestation(copy, now, effects);
}

void readRow(ConfigurationCopy &copy, TimePoint now, CopyEffects &effects)
{
    copy.m_nextRead = now + copy.m_settings.m_attestationInterval;
    copy.m_rowRequest = copy.m_nextRequest++;
    copy.m_rowSent = now;
    effects.m_store.push_back({copy.m_rowRequest, RowRead{PublicationRowName}, StoreTimeout});
}

void fetchFromStore(ConfigurationCopy &copy, CopyEffects &effects)
{
    for (const PublicationEntry &entry : copy.m_recent) {
        if (entry.m_version <= copy.m_version)
            continue;
        const std::uint64_t request = copy.m_nextRequest++;
        copy.m_objectRequests[request] = entry;
        effects.m_store.push_back({request,
                                   ObjectRead{publicationObject(entry.m_version, entry.m_hash)},
                                   StoreTimeout});
    }
}

void requestMissingVersions(ConfigurationCopy &copy, TimePoint now, std::mt19937_64 &random,
                            CopyEffects &effects)
{
    const bool behind = copy.m_newestAttestation.m_version > copy.m_version || copy.m_version == 0;
    if (!behind) {
        copy.m_behindSince.reset();
        return;
    }
    if (!copy.m_behindSince)
        copy.m_behindSince = now;
    if (now < copy.m_nextFetch)
        return;
    copy.m_nextFetch = now + copy.m_settings.m_fetchInterval;
    if (!copy.m_neighbours.empty()) {
        const std::size_t index =
                std::uniform_int_distribution<std::size_t>(0, copy.m_neighbours.size() - 1)(random);
        effects.m_fetches.push_back({copy.m_neighbours[index], copy.m_version});
    }
    if (now - *copy.m_behindSince < copy.m_settings.m_storeFallback)
        return;
    if (copy.m_rowRequest == 0 && !copy.m_watcher)
        readRow(copy, now, effects);
    fetchFromStore(copy, effects);
}

void rowResult(ConfigurationCopy &copy, const StoreResult &result, TimePoint now,
               CopyEffects &effects)
{
    copy.m_rowRequest = 0;
    if (result.m_outcome != StoreOutcome::Done || result.m_rows.empty())
        return;
    const PublicationRow row = parsePublicationRow(result.m_rows.front().m_value);
    copy.m_recent = row.m_recent;
    // The store evaluated the read after it was sent, so nothing newer was committed when it was.
    const KnownAttestation attestation{row.m_epoch, row.m_version, row.m_hash, copy.m_rowSent};
    const bool silent =
            now - copy.m_newestAttestation.m_time >= copy.m_settings.m_watcherForwardAge;
    if (silent || attestation.m_version > copy.m_newestAttestation.m_version)
        recordAttestation(copy, attestation, now, effects);
    else
        applyProof(copy, attestation);
    if (copy.m_newestAttestation.m_version > copy.m_version)
        fetchFromStore(copy, effects);
}

} // namespace

CopyEffects objectReceived(ConfigurationCopy &copy, const ConfigurationObject &object)
{
    CopyEffects effects;
    const bool applies = object.m_base == 0 || object.m_base == copy.m_version;
    if (object.m_version > copy.m_version && applies)
        effects.m_apply.push_back(object);
    return effects;
}

CopyEffects objectApplied(ConfigurationCopy &copy, const ConfigurationObject &object, TimePoint now)
{
    CopyEffects effects;
    if (object.m_version <= copy.m_version)
        return effects;
    copy.m_version = object.m_version;
    copy.m_hash = object.m_hash;
    // The proof for the older version remains valid: nothing newer had been accepted at its time.
    applyProof(copy, copy.m_newestAttestation);
    copy.m_log[object.m_version] = object;
    if (copy.m_log.size() > RememberedPublications)
        copy.m_log.erase(copy.m_log.begin());
    for (const std::string &neighbour : copy.m_neighbours)
        effects.m_offers.push_back({neighbour, object});
    copy.m_nextFetch = now;
    return effects;
}

CopyEffects attestationReceived(ConfigurationCopy &copy, const FreshnessAttestation &attestation,
                                TimePoint madeAt, TimePoint now)
{
    CopyEffects effects;
    recordAttestation(copy,
                      {attestation.m_epoch, attestation.m_version, attestation.m_hash,
                       madeAt - attestation.m_age},
                      now, effects);
    return effects;
}

CopyEffects fetchReceived(const ConfigurationCopy &copy, const std::string &from,
                          std::uint64_t after)
{
    CopyEffects effects;
    if (copy.m_version <= after)
        return effects;
    const std::map<std::uint64_t, ConfigurationObject>::const_iterator first =
            copy.m_log.upper_bound(after);
    const bool covered = first != copy.m_log.end()
            && (first->second.m_base == after || first->second.m_base == 0);
    if (!covered) {
        effects.m_snapshotsTo.push_back(from);
        return effects;
    }
    for (std::map<std::uint64_t, ConfigurationObject>::const_iterator entry = first;
         entry != copy.m_log.end(); ++entry)
        effects.m_offers.push_back({from, entry->second});
    return effects;
}

CopyEffects copyResult(ConfigurationCopy &copy, const StoreResult &result, TimePoint now)
{
    CopyEffects effects;
    if (result.m_id == copy.m_rowRequest) {
        rowResult(copy, result, now, effects);
        return effects;
    }
    const std::map<std::uint64_t, PublicationEntry>::iterator found =
            copy.m_objectRequests.find(result.m_id);
    if (found == copy.m_objectRequests.end())
        return effects;
    const PublicationEntry entry = found->second;
    copy.m_objectRequests.erase(found);
    if (!result.m_object || result.m_object->empty())
        return effects;
    const bool snapshot = result.m_object->front() == 's';
    return objectReceived(copy,
                          {entry.m_version, entry.m_hash, snapshot ? 0 : entry.m_version - 1,
                           result.m_object->substr(1)});
}

CopyEffects copyTick(ConfigurationCopy &copy, TimePoint now, std::mt19937_64 &random)
{
    CopyEffects effects;
    if (copy.m_watcher && now >= copy.m_nextRead)
        readRow(copy, now, effects);
    requestMissingVersions(copy, now, random, effects);
    return effects;
}

bool hasFreshnessProof(const ConfigurationCopy &copy, TimePoint now,
                       const PublicationFaults &faults)
{
    if (faults.m_serveWithoutProof)
        return copy.m_version > 0;
    return copy.m_proven
            && now - copy.m_provenAt < copy.m_settings.m_bound - copy.m_settings.m_margin;
}

} // namespace chervilmount::sharedstate
