#pragma once

#include "traffic/placement/placement.h"
#include "traffic/profile/callprofile.h"
#include "traffic/treeadmission/demand.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::relay {

/** One HTTP header field. */
struct HeaderField
{
    std::string m_name;
    std::string m_value;
};

/** A node and the backend server beside it. */
struct NodeRecord
{
    std::string m_node;
    /** "ip:port" for other nodes. */
    std::string m_address;
    std::string m_failureDomain;
    std::string m_region;
    /** Wall-clock start of the process; a later start replaces an earlier one. */
    std::chrono::milliseconds m_startedAt{0};
    /** Grows with each change within one start. */
    std::uint32_t m_version = 0;
    std::string m_service;
    /** A backend server beside the node can get new work. */
    bool m_usable = false;
    /** The process is being stopped. */
    bool m_leaving = false;
};

/** @returns whether the first record is newer than the second. */
bool isNewer(const NodeRecord &record, const NodeRecord &than);

/** First frame in each direction of a link. */
struct Hello
{
    NodeRecord m_record;
    std::uint64_t m_policyVersion = 0;
};

/** Sent regularly, also as a sign of life. */
struct Status
{
    /** The sender's record, if it has changed. */
    std::optional<NodeRecord> m_record;
    traffic::TargetLoad m_load;
    std::uint64_t m_policyVersion = 0;
    /** What runs beside the sender do; sent less often, otherwise empty. */
    traffic::CallProfile m_profile;
    /** What callers ask for: of the sender, or of its whole region if it is sent to another one. */
    traffic::Demand m_demand;
    /** The sender's last calls to the store were answered. */
    bool m_reachesStore = false;
};

/** Asks the node beside a backend server to run a request there. */
struct Call
{
    /** Unique on the link. */
    std::uint64_t m_id = 0;
    std::string m_service;
    std::string m_route;
    std::string m_method;
    std::string m_target;
    std::string m_host;
    std::vector<HeaderField> m_fields;
    std::string m_body;
    /** Time left until the caller stops waiting. */
    std::chrono::milliseconds m_remaining{0};
    int m_priority = 0;
    bool m_nested = false;
    std::string m_organisation;
    std::chrono::milliseconds m_targetLatency{0};
    bool m_idempotent = false;
    /** The caller's identifier of this attempt. */
    std::string m_attempt;
    /** Service of the machine on which the request originated. */
    std::string m_callerService;
};

/** The caller no longer waits. */
struct Cancel
{
    std::uint64_t m_id = 0;
};

/** A whole response of the backend server. */
struct Answer
{
    std::uint64_t m_id = 0;
    int m_status = 0;
    std::vector<HeaderField> m_fields;
    std::string m_body;
    traffic::TargetLoad m_load;
};

/** Why a call has no response of the backend server. */
enum class FailureReason {
    /** The queue before the backend server is too long. */
    Overloaded,
    /** No backend server of the service beside the node, or it leaves. */
    Unavailable,
    /** The backend server said that it has not run the request. */
    ServerRefused,
    /** The connection broke, or the response was no valid response. */
    Broken,
    /** The time was up. */
    Timeout,
    /** The link to the node broke, or the node fell silent. */
    LinkLost
};

/** @returns the name used in logs and metrics. */
const char *nameOf(FailureReason reason);

/** Ends a call without a response of the backend server. */
struct Failure
{
    std::uint64_t m_id = 0;
    /** The request is known not to have run and will not run. */
    bool m_notRun = false;
    /** The backend server has received the request; another attempt counts as a repeat. */
    bool m_arrived = false;
    FailureReason m_reason = FailureReason::Broken;
    traffic::TargetLoad m_load;
};

/** Asks for the policy that the other node announced. */
struct PolicyRequest
{
};

/** A version of the policy as it was received from the platform. */
struct PolicyDocument
{
    std::uint64_t m_version = 0;
    std::string m_document;
};

/** Asks for tokens of an organisation. */
struct TokenRequest
{
    std::string m_organisation;
    double m_wanted = 0.0;
};

/** Hands over tokens, which the sender has already subtracted. */
struct TokenGrant
{
    std::string m_organisation;
    double m_tokens = 0.0;
};

/** One message between nodes. */
using Frame = std::variant<Hello, Status, Call, Cancel, Answer, Failure, PolicyRequest,
                           PolicyDocument, TokenRequest, TokenGrant>;

} // namespace chervilmount::relay
