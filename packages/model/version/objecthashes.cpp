#include "model/version/objecthashes.h"

#include "model/parsing/configurationparser.h"

#include <algorithm>
#include <span>

namespace chervilmount::model {

ObjectHashes::ObjectHashes(const Configuration &configuration)
{
    visitKinds(configuration, [this](ObjectKind kind, const auto &objects) {
        for (const auto &object : objects)
            m_sorted.push_back(objectHash(kind, object));
    });
    std::sort(m_sorted.begin(), m_sorted.end());
}

void ObjectHashes::add(const Digest &hash)
{
    m_sorted.insert(std::lower_bound(m_sorted.begin(), m_sorted.end(), hash), hash);
}

bool ObjectHashes::remove(const Digest &hash)
{
    const auto found = std::lower_bound(m_sorted.begin(), m_sorted.end(), hash);
    if (found == m_sorted.end() || *found != hash)
        return false;
    m_sorted.erase(found);
    return true;
}

Digest ObjectHashes::combinedHash() const
{
    return sha256(std::span<const Digest>(m_sorted));
}

Digest configurationHash(const Configuration &configuration)
{
    return ObjectHashes(canonical(configuration)).combinedHash();
}

} // namespace chervilmount::model
