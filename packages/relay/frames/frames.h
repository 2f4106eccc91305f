#pragma once

#include "traffic/allotment/rateview.h"
#include "traffic/instance/instanceregister.h"
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

/** Description of a node and its local backend server. */
struct NodeRecord
{
    std::string m_node;
    /** "ip:port" at which the node accepts links. */
    std::string m_address;
    std::string m_failureDomain;
    std::string m_region;
    /** Wall-clock start of the process; a later start replaces an earlier one. */
    std::chrono::milliseconds m_startedAt{0};
    /** Incremented with each change of the record; starts anew with the process. */
    std::uint32_t m_version = 0;
    std::string m_service;
    /** The local backend server accepts new requests. */
    bool m_usable = false;
    /** The node is shutting down and draining. */
    bool m_leaving = false;
    /** Departures of local backend servers that have been announced to the node. The other nodes
     * keep them for its next process. */
    std::vector<traffic::DepartedInstance> m_departed;
};

/** @returns whether the first record is newer than the second. */
bool isNewer(const NodeRecord &record, const NodeRecord &than);

/** First frame in each direction of a link. */
struct Hello
{
    NodeRecord m_record;
    std::uint64_t m_policyVersion = 0;
    /** Departures that the receiver, or an earlier process of it, has made known to the sender. */
    std::vector<traffic::DepartedInstance> m_departed;
    /** The sender's part in the organisations' rates. */
    traffic::RateStatement m_rates;
};

/** Sent periodically; also serves as the heartbeat of the link. */
struct Status
{
    /** The sender's record, if it has changed. */
    std::optional<NodeRecord> m_record;
    traffic::TargetLoad m_load;
    std::uint64_t m_policyVersion = 0;
    /** Call profile of the sender's backend server; sent less often, otherwise empty. */
    traffic::CallProfile m_profile;
    /** Callers' demand at the sender; that of its whole region if sent to another region. */
    traffic::Demand m_demand;
    /** The sender's last calls to the store succeeded. */
    bool m_reachesStore = false;
    /** Highest era that the store has named to the sender; 0 if it has named none. */
    std::uint64_t m_storeEra = 0;
    /** Version of the receiver's record that the sender holds; 0 before the first change. */
    std::uint32_t m_heldVersion = 0;
    /** The sender's part in the organisations' rates. */
    traffic::RateStatement m_rates;
};

/** Asks a node to run a request at its local backend server. */
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
    /** The request was made by a backend server while it handled another one. */
    bool m_nested = false;
    std::string m_organisation;
    std::chrono::milliseconds m_targetLatency{0};
    bool m_idempotent = false;
    /** The caller's identifier of this attempt. */
    std::string m_attempt;
    /** Service of the machine on which the request originated. */
    std::string m_callerService;
};

/** Cancels a call whose caller no longer waits. */
struct Cancel
{
    std::uint64_t m_id = 0;
};

/** The complete response of the backend server to a call. */
struct Answer
{
    std::uint64_t m_id = 0;
    int m_status = 0;
    std::vector<HeaderField> m_fields;
    std::string m_body;
    traffic::TargetLoad m_load;
};

/** Why a call ended without a response of the backend server. */
enum class FailureReason {
    /** The queue of the backend server is too long. */
    Overloaded,
    /** The node has no backend server of the service, or the server is draining. */
    Unavailable,
    /** The backend server stated that it has not run the request. */
    ServerRefused,
    /** The connection to the backend server broke, or the response was invalid. */
    Broken,
    /** The deadline passed. */
    Timeout,
    /** The link to the node broke, or the node stopped sending. */
    LinkLost
};

/** @returns the name used in logs and metrics. */
const char *nameOf(FailureReason reason);

/** Ends a call without a response of the backend server. */
struct Failure
{
    std::uint64_t m_id = 0;
    /** The request is known not to have run, and will not run later. */
    bool m_notRun = false;
    /** The backend server has received the request, so another attempt counts as a repeat. */
    bool m_arrived = false;
    FailureReason m_reason = FailureReason::Broken;
    traffic::TargetLoad m_load;
};

/** Requests the policy document whose version the other node has announced. */
struct PolicyRequest
{
};

/** One version of the policy, as received from the platform. */
struct PolicyDocument
{
    std::uint64_t m_version = 0;
    std::string m_document;
};

/** Requests the nodes that the receiver counts. */
struct NodesRequest
{
};

/** Nodes that the sender counts, for a node that the store does not answer. */
struct NodeList
{
    std::vector<NodeRecord> m_nodes;
    /** The list has all nodes that may take part in the organisations' rates. */
    bool m_isComplete = false;
};

/** Requests tokens of an organisation's rate limit. */
struct TokenRequest
{
    std::string m_organisation;
    double m_wanted = 0.0;
};

/** Transfers tokens, which the sender has already subtracted from its own bucket. */
struct TokenGrant
{
    std::string m_organisation;
    double m_tokens = 0.0;
};

/** One message between nodes. */
using Frame = std::variant<Hello, Status, Call, Cancel, Answer, Failure, PolicyRequest,
                           PolicyDocument, TokenRequest, TokenGrant, NodesRequest, NodeList>;

} // namespace chervilmount::relay
