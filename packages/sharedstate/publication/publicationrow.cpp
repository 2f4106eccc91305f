#include "sharedstate/publication/publicationrow.h"

namespace chervilmount::sharedstate {

std::string publicationObject(std::uint64_t version, const std::string &hash)
{
    return "configuration/" + std::to_string(version) + "-" + hash;
}

boost::json::object toValue(const PublicationRow &row)
{
    boost::json::object value;
    value["version"] = row.m_version;
    value["hash"] = row.m_hash;
    value["epoch"] = row.m_epoch;
    value["nonce"] = toHex(row.m_nonce);
    boost::json::array recent;
    for (const PublicationEntry &entry : row.m_recent) {
        recent.push_back({{"version", entry.m_version},
                          {"hash", entry.m_hash},
                          {"nonce", toHex(entry.m_nonce)}});
    }
    value["recent"] = std::move(recent);
    return value;
}

PublicationRow parsePublicationRow(const boost::json::object &value)
{
    PublicationRow row;
    row.m_version = numberMember(value, "version");
    row.m_hash = textMember(value, "hash");
    row.m_epoch = numberMember(value, "epoch");
    row.m_nonce = fromHex(textMember(value, "nonce"));
    const boost::json::value *recent = value.if_contains("recent");
    if (recent == nullptr || !recent->is_array())
        return row;
    for (const boost::json::value &entry : recent->as_array()) {
        if (!entry.is_object())
            continue;
        const boost::json::object &object = entry.as_object();
        row.m_recent.push_back({numberMember(object, "version"), textMember(object, "hash"),
                                fromHex(textMember(object, "nonce"))});
    }
    return row;
}

} // namespace chervilmount::sharedstate
