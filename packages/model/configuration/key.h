#pragma once

#include <string>

namespace chervilmount::model {

/** A key that callers present; only its digest is stored. A key is revoked by removing it. */
struct Key
{
    std::string m_name;
    /** Name of the organisation that the key belongs to. */
    std::string m_organisation;
    /** HMAC-SHA-256 of the key under the deployment's digest key, 64 lower-case hex digits. */
    std::string m_digest;
};

} // namespace chervilmount::model
