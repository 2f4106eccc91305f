#include "sharedstate/simulation/fakestore.h"

#include <memory>

namespace chervilmount::simulation {

using sharedstate::StoreOutcome;
using sharedstate::StoreRequest;
using sharedstate::StoreResult;

FakeStore::FakeStore(World &world)
    : m_world(world)
    , m_cuts(16, false)
{
}

void FakeStore::request(int node, const StoreRequest &request,
                        const std::function<void(const StoreResult &)> &action)
{
    StoreResult failed;
    failed.m_id = request.m_id;
    const bool cut = m_cuts[static_cast<std::size_t>(m_world.node(node).m_domain)];
    if (cut || !m_quality.m_up) {
        if (m_world.chance(0.5)) {
            failed.m_outcome = StoreOutcome::NotApplied;
            m_world.afterAt(node, std::chrono::milliseconds(2),
                            [action, failed]() { action(failed); });
        } else {
            m_world.afterAt(node, request.m_timeout, [action, failed]() { action(failed); });
        }
        return;
    }
    const Nanoseconds shortest = std::chrono::microseconds(300);
    const bool late = m_world.chance(m_quality.m_lateRequest);
    const Nanoseconds there = late ? m_world.between(shortest, m_quality.m_latest)
                                   : m_world.between(shortest, m_quality.m_usualDelay);
    const Nanoseconds back = m_world.between(shortest, m_quality.m_usualDelay);
    const bool lostRequest = m_world.chance(m_quality.m_lostRequest);
    const bool answered = !lostRequest && !m_world.chance(m_quality.m_lostResponse)
            && there + back < request.m_timeout;
    if (!answered)
        m_world.afterAt(node, request.m_timeout, [action, failed]() { action(failed); });
    if (lostRequest)
        return;
    // The request still reaches the store if the node stops in the meantime.
    const std::uint64_t incarnation = m_world.node(node).m_incarnation;
    // Rows are large, so events share them instead of copying.
    const auto sent = std::make_shared<const StoreRequest>(request);
    m_world.after(there, [this, node, incarnation, sent, action, answered, back]() {
        const auto result = std::make_shared<StoreResult>();
        result->m_id = sent->m_id;
        result->m_outcome = StoreOutcome::NotApplied;
        if (m_quality.m_up)
            *result = apply(*sent);
        if (answered && m_world.node(node).m_incarnation == incarnation)
            m_world.afterAt(node, back, [action, result]() { action(*result); });
    });
}

const sharedstate::StoredRow *FakeStore::row(const std::string &name) const
{
    const std::map<std::string, sharedstate::StoredRow>::const_iterator found = m_rows.find(name);
    return found == m_rows.end() ? nullptr : &found->second;
}

sharedstate::WriteResult FakeStore::applyWrite(const sharedstate::RowWrite &write)
{
    const std::map<std::string, sharedstate::StoredRow>::iterator found = m_rows.find(write.m_row);
    const bool exists = found != m_rows.end();
    bool allowed = true;
    if (write.m_condition == sharedstate::WriteCondition::Absent)
        allowed = !exists;
    if (write.m_condition == sharedstate::WriteCondition::Revision)
        allowed = exists && found->second.m_revision == write.m_revision;
    if (!allowed) {
        if (!exists)
            return {false, 0, std::nullopt};
        return {false, found->second.m_revision, found->second.m_value};
    }
    ++m_revision;
    if (write.m_kind == sharedstate::WriteKind::Delete)
        m_rows.erase(write.m_row);
    else
        m_rows[write.m_row] = {write.m_row, m_revision, write.m_value};
    return {true, m_revision, std::nullopt};
}

StoreResult FakeStore::apply(const StoreRequest &request)
{
    StoreResult result;
    result.m_id = request.m_id;
    result.m_outcome = StoreOutcome::Done;
    if (const sharedstate::RowRead *read =
                std::get_if<sharedstate::RowRead>(&request.m_operation)) {
        ++m_readCount;
        if (const sharedstate::StoredRow *found = row(read->m_row))
            result.m_rows.push_back(*found);
    } else if (const sharedstate::RowScan *scan =
                       std::get_if<sharedstate::RowScan>(&request.m_operation)) {
        ++m_readCount;
        for (const auto &entry : m_rows) {
            if (entry.first.starts_with(scan->m_prefix))
                result.m_rows.push_back(entry.second);
        }
    } else if (const sharedstate::RowTransaction *write =
                       std::get_if<sharedstate::RowTransaction>(&request.m_operation)) {
        ++m_writeCount;
        for (const sharedstate::RowWrite &single : write->m_writes)
            result.m_writes.push_back(applyWrite(single));
    } else if (const sharedstate::ObjectRead *get =
                       std::get_if<sharedstate::ObjectRead>(&request.m_operation)) {
        const std::map<std::string, std::string>::const_iterator found =
                m_objects.find(get->m_name);
        if (found != m_objects.end())
            result.m_object = found->second;
    } else if (const sharedstate::ObjectWrite *put =
                       std::get_if<sharedstate::ObjectWrite>(&request.m_operation)) {
        m_objects[put->m_name] = put->m_body;
    }
    return result;
}

} // namespace chervilmount::simulation
