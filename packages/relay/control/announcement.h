#pragma once

#include "relay/http/httpmessage.h"
#include "traffic/instance/instanceregister.h"

#include <functional>
#include <string>
#include <variant>

namespace chervilmount::relay {

/** Notice of a backend server that it is leaving. */
struct DepartureNotice
{
    std::string m_id;
    /** Wall-clock time of the backend server's start; 0 if the message does not state it. */
    std::chrono::milliseconds m_startedAt{0};
};

/** Rejection of a message to the announcement listener, with the status and reason to answer. */
struct MalformedAnnouncement
{
    int m_status = 400;
    std::string m_reason;
};

using AnnouncementMessage =
        std::variant<traffic::InstanceAnnouncement, DepartureNotice, MalformedAnnouncement>;

/** Decodes a backend server's message; supplied by the platform's adapter. */
using AnnouncementParser = std::function<AnnouncementMessage(const HttpRequest &)>;

} // namespace chervilmount::relay
