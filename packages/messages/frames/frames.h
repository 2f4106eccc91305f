#pragma once

#include "membership/message/payload.h"
#include "model/request/requestcontext.h"
#include "sharedstate/sharedstate.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chervilmount::messages {

/** Identifies one attempt of one call; all calls of a call tree share the request id. */
struct CallKey
{
    model::RequestId m_requestId{};
    /** Number of the call, unique at the node that sends it. */
    std::uint64_t m_call = 0;
    /** 0 for the first attempt. */
    std::uint32_t m_attempt = 0;

    // clang-tidy 14 reports the generated comparison with 0.
    auto operator<=>(const CallKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/** One HTTP header field. */
struct HeaderField
{
    std::string m_name;
    std::string m_value;

    bool operator==(const HeaderField &) const = default;
};

/** Starts a call at the node that the chosen backend server belongs to. */
struct CallStart
{
    CallKey m_key;
    std::string m_service;
    std::string m_route;
    std::string m_method;
    std::string m_target;
    std::vector<HeaderField> m_fields;
    bool m_hasBody = false;
    /** Length of the body if it is known in advance. */
    std::optional<std::uint64_t> m_bodyBytes;
    /** Empty on open routes. */
    std::string m_organisation;
    int m_priority = 0;
    /** Time left until the deadline when the frame was sent. */
    std::chrono::microseconds m_remaining{0};
    int m_extraAttempts = 0;
    int m_pathDepth = 0;
    std::uint16_t m_rank = 0;
    bool m_onceOnly = false;
    /** The call repeats an attempt that may have made nested calls. */
    bool m_repeat = false;
};

/** A part of the request body. */
struct CallBody
{
    CallKey m_key;
    std::string m_data;
    bool m_last = false;
};

/** Cancels a call whose response is no longer needed. */
struct CallCancel
{
    CallKey m_key;
};

/** Load of a node, reported with each response. */
struct LoadReport
{
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    bool m_leaving = false;
    /** Highest rank number that the subtree admits. */
    std::uint16_t m_threshold = UINT16_MAX;
    /** Calls running and waiting, scaled by the announced slots over the limit. */
    double m_load = 0.0;
};

/** Status and header fields of a response. */
struct AnswerHead
{
    CallKey m_key;
    int m_status = 0;
    std::vector<HeaderField> m_fields;
    std::optional<std::uint64_t> m_bodyBytes;
    LoadReport m_load;
};

/** A part of the response body. */
struct AnswerChunk
{
    CallKey m_key;
    std::string m_data;
};

/** Ends a response. */
struct AnswerEnd
{
    CallKey m_key;
    std::uint64_t m_totalBytes = 0;
    /** XXH3-64 of the whole body. */
    std::uint64_t m_checksum = 0;
    int m_unusedExtraAttempts = 0;
    LoadReport m_load;
    /** False if the backend server's response was truncated. */
    bool m_complete = true;
};

/** Flow-control credit: allows the responding node to send this many more response body bytes. */
struct AnswerWindow
{
    CallKey m_key;
    std::uint32_t m_bytes = 0;
};

/** Flow-control credit: allows the calling node to send this many more request body bytes. */
struct BodyWindow
{
    CallKey m_key;
    std::uint32_t m_bytes = 0;
};

/** Reports that a call ends without a response from a backend server. */
struct Refusal
{
    CallKey m_key;
    /** True if the request is known not to have been executed. */
    bool m_notRun = true;
    /** Whether the calling node may retry; false for refusals from further down. */
    bool m_retryable = true;
    std::string m_reason;
    std::chrono::milliseconds m_retryAfter{0};
    /** HTTP status for the caller. */
    int m_status = 503;
    int m_unusedExtraAttempts = 0;
    LoadReport m_load;
};

/** A message of the membership protocol. */
struct MembershipMessage
{
    membership::NodeId m_from;
    membership::Payload m_payload;
};

/** Redirects a node whose request reached the wrong node to the lease holder of a rate group. */
struct GroupHolder
{
    std::string m_group;
    std::string m_address;
};

/** A message about leases or rate grants. */
using SharedStatePayload = std::variant<sharedstate::LeasePromiseRequest, sharedstate::LeasePromise,
                                        sharedstate::GrantRequest, sharedstate::Grant, GroupHolder>;

/** A message of the shared state between nodes. */
struct SharedStateMessage
{
    SharedStatePayload m_payload;
};

/** One message between nodes. */
using Frame =
        std::variant<CallStart, CallBody, CallCancel, AnswerHead, AnswerChunk, AnswerEnd,
                     AnswerWindow, BodyWindow, Refusal, MembershipMessage, SharedStateMessage>;

} // namespace chervilmount::messages
