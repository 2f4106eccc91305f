#pragma once

#include "relay/http/httpmessage.h"
#include "traffic/instance/instanceregister.h"

#include <functional>
#include <string>
#include <variant>

namespace chervilmount::relay {

/** A backend server says that it leaves. */
struct DepartureNotice
{
    std::string m_id;
    /** 0 if the message does not say it. */
    std::chrono::milliseconds m_startedAt{0};
};

/** A message to the announcement listener that names no backend server to use. */
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
