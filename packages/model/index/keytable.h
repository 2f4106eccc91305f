#pragma once

#include "model/configuration/key.h"
#include "model/digest/sha256.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervilmount::model {

/** Looks up keys by digest in constant time. */
class KeyTable
{
public:
    KeyTable() = default;

    /** @param keys the keys of a checked configuration; keys with malformed digests are skipped. */
    explicit KeyTable(const std::vector<Key> &keys);

    /** @returns the key with the digest, or nullptr; valid for the lifetime of the table. */
    const Key *find(const Digest &digest) const;

private:
    struct HashDigest
    {
        std::size_t operator()(const Digest &digest) const;
    };

    std::unordered_map<Digest, Key, HashDigest> m_keys;
};

} // namespace chervilmount::model
