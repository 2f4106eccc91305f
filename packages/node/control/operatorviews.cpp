#include "node/control/operatorviews.h"

#include "node/runtime/nodeparts.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace chervilmount::node {

namespace json = boost::json;

namespace {

std::string_view stateText(membership::MemberState state)
{
    switch (state) {
    case membership::MemberState::Joining:
        return "joining";
    case membership::MemberState::Serving:
        return "serving";
    case membership::MemberState::Leaving:
        return "leaving";
    case membership::MemberState::Left:
        return "left";
    case membership::MemberState::Failed:
        break;
    }
    return "failed";
}

json::object memberJson(const membership::MemberRecord &record)
{
    return {{"failureDomain", record.m_id.m_failureDomain},
            {"address", record.m_id.m_address},
            {"incarnation", record.m_incarnation},
            {"service", record.m_service},
            {"slots", record.m_slots},
            {"state", stateText(record.m_state)},
            {"version", record.m_version}};
}

} // namespace

bool isReady(const NodeParts &parts)
{
    const auto age = parts.m_configuration.proofAge(std::chrono::steady_clock::now());
    return parts.m_configuration.current() && age && *age <= FreshnessBound && !parts.m_leaving;
}

json::array findingsJson(const model::Findings &findings)
{
    json::array list;
    for (const model::Finding &finding : findings) {
        list.push_back(json::object{{"source", finding.m_source},
                                    {"pointer", finding.m_pointer},
                                    {"value", finding.m_value},
                                    {"problem", finding.m_problem},
                                    {"remedy", finding.m_remedy}});
    }
    return list;
}

std::string configurationView(const NodeParts &parts)
{
    const auto &current = parts.m_configuration.current();
    if (!current)
        return {};
    const model::VersionedConfiguration &set = current->m_versioned;
    return json::serialize(json::object{{"version", set.version().m_version},
                                        {"hash", model::toHex(set.version().m_hash)},
                                        {"set", model::toJson(set.configuration())}});
}

std::string membersView(const NodeParts &parts)
{
    json::array list;
    parts.m_membership.state().m_table.forEach(std::chrono::steady_clock::now(),
                                               [&list](const membership::MemberRecord &record) {
                                                   list.push_back(memberJson(record));
                                               });
    return json::serialize(json::object{{"members", std::move(list)}});
}

std::string limitsView(const NodeParts &parts)
{
    const overload::Admission &admission = parts.m_incoming.admission();
    return json::serialize(json::object{{"limit", overload::limitNow(admission.m_limit)},
                                        {"slots", admission.m_limit.m_slots},
                                        {"inFlight", admission.m_inFlight},
                                        {"queued", admission.m_queue.m_size},
                                        {"threshold", admission.m_threshold.m_rank},
                                        {"leaving", admission.m_leaving}});
}

std::string routesView(const NodeParts &parts)
{
    json::array list;
    if (parts.m_configuration.current()) {
        for (const model::Route &route :
             parts.m_configuration.current()->m_versioned.configuration().m_routes) {
            list.push_back(json::object{{"name", route.m_name},
                                        {"service", route.m_service},
                                        {"candidates", parts.membersOf(route.m_service).size()}});
        }
    }
    return json::serialize(json::object{{"routes", std::move(list)}});
}

std::string leasesView(const NodeParts &parts, std::chrono::steady_clock::time_point now)
{
    json::array list;
    for (const std::pair<const std::string, sharedstate::LeaseState> &entry :
         parts.m_leases.states()) {
        json::object lease{{"name", entry.first}};
        const std::optional<sharedstate::LeaseRow> &row = entry.second.m_row;
        if (row && row->m_holder)
            lease["holder"] = row->m_holder->m_node;
        if (row)
            lease["epoch"] = row->m_epoch;
        lease["heldHere"] = parts.m_leases.holds(entry.first, now);
        list.push_back(std::move(lease));
    }
    return json::serialize(json::object{{"leases", std::move(list)}});
}

std::string requestView(const std::string &id, const std::vector<RecordedDecision> &decisions)
{
    json::array list;
    for (const RecordedDecision &decision : decisions) {
        const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
                decision.m_time.time_since_epoch());
        list.push_back(json::object{{"milliseconds", sinceEpoch.count()},
                                    {"category", decision.m_category},
                                    {"line", decision.m_line}});
    }
    return json::serialize(json::object{{"request", id}, {"decisions", std::move(list)}});
}

std::string metricsText(NodeParts &parts)
{
    adapters::Metrics &metrics = parts.m_recorder.metrics();
    const auto gauge = [&metrics](const char *name, const char *help, double value) {
        metrics.describe(name, "gauge", help);
        metrics.set(name, {}, value);
    };
    const auto counter = [&metrics](const char *name, const char *help, std::uint64_t value) {
        metrics.describe(name, "counter", help);
        metrics.set(name, {}, static_cast<double>(value));
    };
    const overload::Admission &admission = parts.m_incoming.admission();
    gauge("chervilmount_limit", "Calls that the backend server gets at once.",
          overload::limitNow(admission.m_limit));
    gauge("chervilmount_in_flight", "Calls at the backend server.", admission.m_inFlight);
    gauge("chervilmount_queued", "Calls that wait for a slot.", admission.m_queue.m_size);
    gauge("chervilmount_threshold", "Highest rank number that this node admits.",
          admission.m_threshold.m_rank);
    gauge("chervilmount_outgoing_calls", "Calls that wait for another node.",
          static_cast<double>(parts.m_outgoing.active()));
    gauge("chervilmount_backend_connections", "Open connections to the backend server.",
          static_cast<double>(parts.m_backend.openConnections()));
    const auto &current = parts.m_configuration.current();
    gauge("chervilmount_configuration_version", "Version of the configuration in force.",
          current ? static_cast<double>(current->version()) : 0.0);
    counter("chervilmount_dropped_frames_total",
            "Frames for attempts that are no longer waited for.",
            parts.m_outgoing.droppedFrames() + parts.m_incoming.droppedFrames());
    const adapters::PeerTransportCounters &frames = parts.m_transport->counters();
    counter("chervilmount_frames_sent_total", "Frames sent to other nodes.", frames.m_sent);
    counter("chervilmount_frames_received_total", "Frames received from other nodes.",
            frames.m_received);
    counter("chervilmount_malformed_frames_total", "Messages that were no valid frame.",
            frames.m_malformed);
    counter("chervilmount_undelivered_frames_total", "Frames that did not reach their node.",
            frames.m_undelivered);
    counter("chervilmount_rejected_handshakes_total", "Peers without an accepted key.",
            parts.m_transport->rejectedHandshakes());
    return metrics.text();
}

} // namespace chervilmount::node
