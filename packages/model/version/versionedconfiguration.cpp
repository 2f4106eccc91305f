#include "model/version/versionedconfiguration.h"

#include "model/parsing/configurationparser.h"
#include "model/version/deltakinds.h"

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace chervilmount::model {

namespace {

template<typename Object>
void removeNamed(ObjectKind kind, const std::string &name, std::vector<Object> &objects,
                 ObjectHashes &hashes)
{
    const auto found = std::lower_bound(
            objects.begin(), objects.end(), name,
            [](const Object &object, const std::string &other) { return object.m_name < other; });
    if (found == objects.end() || found->m_name != name)
        return;
    hashes.remove(objectHash(kind, *found));
    objects.erase(found);
}

template<typename Object>
void insertNamed(ObjectKind kind, const Object &object, std::vector<Object> &objects,
                 ObjectHashes &hashes)
{
    const auto position = std::lower_bound(
            objects.begin(), objects.end(), object.m_name,
            [](const Object &other, const std::string &name) { return other.m_name < name; });
    hashes.add(objectHash(kind, object));
    objects.insert(position, object);
}

/** @param configuration the configuration to change, in canonical order. */
void applyTo(Configuration &configuration, ObjectHashes &hashes, ConfigurationDelta delta)
{
    delta.m_put = canonical(std::move(delta.m_put));
    visitChanges(
            delta, [&](ObjectKind kind, const auto &put, const std::vector<std::string> &removed) {
                using Objects = std::remove_cvref_t<decltype(put)>;
                visitKinds(configuration, [&](ObjectKind, auto &objects) {
                    if constexpr (std::is_same_v<std::remove_cvref_t<decltype(objects)>, Objects>) {
                        for (const std::string &name : removed)
                            removeNamed(kind, name, objects, hashes);
                        for (const auto &object : put) {
                            removeNamed(kind, object.m_name, objects, hashes);
                            insertNamed(kind, object, objects, hashes);
                        }
                    }
                });
            });
}

} // namespace

VersionedConfiguration::VersionedConfiguration()
    : VersionedConfiguration(Configuration(), 0)
{
}

VersionedConfiguration::VersionedConfiguration(Configuration configuration, std::uint64_t version)
    : m_configuration(canonical(std::move(configuration)))
    , m_hashes(m_configuration)
    , m_version{version, m_hashes.combinedHash()}
{
}

OfferDecision VersionedConfiguration::compare(const ConfigurationVersion &offered) const
{
    if (offered.m_version < m_version.m_version)
        return OfferDecision::Older;
    if (offered.m_version > m_version.m_version)
        return OfferDecision::Gap;
    return offered.m_hash == m_version.m_hash ? OfferDecision::Known : OfferDecision::Mismatch;
}

OfferDecision VersionedConfiguration::apply(const ConfigurationDelta &delta)
{
    const ConfigurationVersion offered{delta.m_toVersion, delta.m_hash};
    const OfferDecision decision = compare(offered);
    if (decision != OfferDecision::Gap || delta.m_fromVersion != m_version.m_version)
        return decision;
    Configuration configuration = m_configuration;
    ObjectHashes hashes = m_hashes;
    applyTo(configuration, hashes, delta);
    if (hashes.combinedHash() != delta.m_hash)
        return OfferDecision::Mismatch;
    m_configuration = std::move(configuration);
    m_hashes = std::move(hashes);
    m_version = offered;
    return OfferDecision::Adopt;
}

OfferDecision VersionedConfiguration::replace(const Configuration &snapshot,
                                              const ConfigurationVersion &version)
{
    const OfferDecision decision = compare(version);
    if (decision != OfferDecision::Gap)
        return decision;
    VersionedConfiguration offered(snapshot, version.m_version);
    if (offered.m_version.m_hash != version.m_hash)
        return OfferDecision::Mismatch;
    *this = std::move(offered);
    return OfferDecision::Adopt;
}

Configuration apply(const ConfigurationDelta &delta, const Configuration &configuration)
{
    Configuration result = canonical(configuration);
    ObjectHashes hashes;
    applyTo(result, hashes, delta);
    return result;
}

} // namespace chervilmount::model
