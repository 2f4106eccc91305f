#pragma once

#include "sharedstate/store/rowvalue.h"

#include <optional>
#include <string>

namespace chervilmount::sharedstate {

/** Responses up to this size are kept in the claim row, larger ones in the object store. */
constexpr std::size_t MaximumInlineResponseBytes = 65'536;

/** The value of a row `claims/<organisation>/<hash of the idempotency key>`. */
struct ClaimRecord
{
    /** Identifies the attempt that holds the claim. */
    Nonce m_nonce = 0;
    /** Digest of method, path and body. */
    std::string m_digest;
    /** The recorded response as opaque bytes; absent until it is recorded. */
    std::optional<std::string> m_response;
    /** Name of the object that holds the response if it is large; empty otherwise. */
    std::string m_responseObject;
};

/** @returns the row name of a claim. */
std::string claimRow(const std::string &organisation, const std::string &keyHash);

boost::json::object toValue(const ClaimRecord &record);

ClaimRecord parseClaimRecord(const boost::json::object &value);

} // namespace chervilmount::sharedstate
