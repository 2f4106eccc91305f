#include "sharedstate/lease/leaserow.h"

namespace chervilmount::sharedstate {

namespace {

boost::json::object toValue(const NodeReference &node)
{
    return {{"node", node.m_node}, {"incarnation", node.m_incarnation}};
}

NodeReference parseNode(const boost::json::object &value)
{
    return {textMember(value, "node"), numberMember(value, "incarnation")};
}

} // namespace

std::string leaseRowName(const std::string &lease)
{
    return "leases/" + lease;
}

boost::json::object toValue(const LeaseRow &row)
{
    boost::json::object value;
    value["epoch"] = row.m_epoch;
    if (row.m_holder)
        value["holder"] = toValue(*row.m_holder);
    boost::json::array successors;
    for (const NodeReference &node : row.m_successors)
        successors.push_back(toValue(node));
    value["successors"] = std::move(successors);
    value["nonce"] = toHex(row.m_nonce);
    value["renewal"] = row.m_renewal;
    return value;
}

LeaseRow parseLeaseRow(const boost::json::object &value)
{
    LeaseRow row;
    row.m_epoch = numberMember(value, "epoch");
    row.m_nonce = fromHex(textMember(value, "nonce"));
    row.m_renewal = numberMember(value, "renewal");
    const boost::json::value *holder = value.if_contains("holder");
    if (holder != nullptr && holder->is_object())
        row.m_holder = parseNode(holder->as_object());
    const boost::json::value *successors = value.if_contains("successors");
    if (successors == nullptr || !successors->is_array())
        return row;
    for (const boost::json::value &node : successors->as_array()) {
        if (node.is_object())
            row.m_successors.push_back(parseNode(node.as_object()));
    }
    return row;
}

} // namespace chervilmount::sharedstate
