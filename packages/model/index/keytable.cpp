#include "model/index/keytable.h"

#include <cstring>
#include <optional>

namespace chervilmount::model {

KeyTable::KeyTable(const std::vector<Key> &keys)
{
    m_keys.reserve(keys.size());
    for (const Key &key : keys) {
        const std::optional<Digest> digest = digestFromHex(key.m_digest);
        if (digest)
            m_keys.emplace(*digest, key);
    }
}

const Key *KeyTable::find(const Digest &digest) const
{
    const auto found = m_keys.find(digest);
    return found == m_keys.end() ? nullptr : &found->second;
}

std::size_t KeyTable::HashDigest::operator()(const Digest &digest) const
{
    // The bytes of an HMAC are uniformly distributed, so any part of them is a good hash.
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

} // namespace chervilmount::model
