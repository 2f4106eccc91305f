#include "sharedstate/claims/claimrecord.h"
#include "model/encoding/base64.h"

namespace chervilmount::sharedstate {

std::string claimRow(const std::string &organisation, const std::string &keyHash)
{
    return "claims/" + organisation + "/" + keyHash;
}

boost::json::object toValue(const ClaimRecord &record)
{
    boost::json::object value;
    value["nonce"] = toHex(record.m_nonce);
    value["digest"] = record.m_digest;
    if (record.m_response)
        value["response"] = model::toBase64(*record.m_response);
    if (!record.m_responseObject.empty())
        value["object"] = record.m_responseObject;
    return value;
}

ClaimRecord parseClaimRecord(const boost::json::object &value)
{
    ClaimRecord record;
    record.m_nonce = fromHex(textMember(value, "nonce"));
    record.m_digest = textMember(value, "digest");
    record.m_responseObject = textMember(value, "object");
    if (value.contains("response"))
        record.m_response = model::fromBase64(textMember(value, "response"));
    return record;
}

} // namespace chervilmount::sharedstate
