#pragma once

#include "model/configuration/configuration.h"
#include "model/configuration/objectkind.h"
#include "model/digest/sha256.h"
#include "model/json/text.h"
#include "model/parsing/objectfields.h"

#include <string>
#include <vector>

namespace chervilmount::model {

/** @returns the SHA-256 of the kind and the canonical JSON of an object. */
template<typename Object>
Digest objectHash(ObjectKind kind, const Object &object)
{
    return sha256(std::string(sectionName(kind)) + ' ' + toText(toJson(object)));
}

/** The sorted hashes of all objects of a configuration. When one object changes, only that object
 * is serialised and hashed again. */
class ObjectHashes
{
public:
    ObjectHashes() = default;

    /** Computes the hashes of a configuration in canonical order. */
    explicit ObjectHashes(const Configuration &configuration);

    void add(const Digest &hash);

    /** Removes one hash. @returns whether it was there. */
    bool remove(const Digest &hash);

    /** @returns the hash of the configuration: SHA-256 over the sorted object hashes. */
    Digest combinedHash() const;

private:
    std::vector<Digest> m_sorted;
};

/** @returns the hash of a configuration, which need not be in canonical order. */
Digest configurationHash(const Configuration &configuration);

} // namespace chervilmount::model
