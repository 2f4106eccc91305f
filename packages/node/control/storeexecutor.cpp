#include "node/control/storeexecutor.h"

#include <utility>

namespace chervilmount::node {

namespace {

using adapters::PlatformStatus;
using sharedstate::StoreOutcome;
using sharedstate::StoreResult;

StoreOutcome toOutcome(PlatformStatus status)
{
    switch (status) {
    case PlatformStatus::Ok:
    case PlatformStatus::Absent:
        return StoreOutcome::Done;
    case PlatformStatus::Refused:
        return StoreOutcome::NotApplied;
    case PlatformStatus::Unknown:
        break;
    }
    return StoreOutcome::Unknown;
}

adapters::RowCondition toCondition(sharedstate::WriteCondition condition)
{
    switch (condition) {
    case sharedstate::WriteCondition::Absent:
        return adapters::RowCondition::Absent;
    case sharedstate::WriteCondition::Revision:
        return adapters::RowCondition::Revision;
    case sharedstate::WriteCondition::None:
        break;
    }
    return adapters::RowCondition::None;
}

std::vector<adapters::RowOperation> toOperations(const sharedstate::RowTransaction &transaction)
{
    std::vector<adapters::RowOperation> operations;
    for (const sharedstate::RowWrite &write : transaction.m_writes) {
        adapters::RowOperation operation;
        operation.m_row = write.m_row;
        operation.m_delete = write.m_kind == sharedstate::WriteKind::Delete;
        operation.m_condition = toCondition(write.m_condition);
        operation.m_revision = write.m_revision;
        operation.m_value = write.m_value;
        operations.push_back(std::move(operation));
    }
    return operations;
}

void copyRows(const adapters::RowsResult &rows, StoreResult &result)
{
    result.m_outcome = toOutcome(rows.m_status);
    for (const adapters::TableRow &row : rows.m_rows) {
        if (row.m_value.is_object())
            result.m_rows.push_back({row.m_name, row.m_revision, row.m_value.as_object()});
    }
}

void copyWrites(const adapters::TransactionResult &transaction, StoreResult &result)
{
    result.m_outcome = toOutcome(transaction.m_status);
    for (const adapters::RowResult &row : transaction.m_results) {
        sharedstate::WriteResult write;
        write.m_applied = row.m_applied;
        write.m_revision = row.m_revision;
        if (row.m_value.is_object())
            write.m_value = row.m_value.as_object();
        result.m_writes.push_back(std::move(write));
    }
}

} // namespace

adapters::Task<StoreResult> performStoreRequest(adapters::PlatformClient &platform,
                                                sharedstate::StoreRequest request)
{
    StoreResult result;
    result.m_id = request.m_id;
    if (const sharedstate::RowRead *read =
                std::get_if<sharedstate::RowRead>(&request.m_operation)) {
        const adapters::RowsResult rows = co_await platform.readRow(read->m_row);
        copyRows(rows, result);
    } else if (const sharedstate::RowScan *scan =
                       std::get_if<sharedstate::RowScan>(&request.m_operation)) {
        const adapters::RowsResult rows = co_await platform.readRows(scan->m_prefix);
        copyRows(rows, result);
    } else if (const sharedstate::RowTransaction *writes =
                       std::get_if<sharedstate::RowTransaction>(&request.m_operation)) {
        const adapters::TransactionResult written =
                co_await platform.transact(toOperations(*writes), writes->m_atomic);
        copyWrites(written, result);
    } else if (const sharedstate::ObjectRead *object =
                       std::get_if<sharedstate::ObjectRead>(&request.m_operation)) {
        adapters::ObjectResult found = co_await platform.getObject(object->m_name);
        result.m_outcome = toOutcome(found.m_status);
        if (found.m_status == PlatformStatus::Ok)
            result.m_object = std::move(found.m_body);
    } else if (const sharedstate::ObjectWrite *put =
                       std::get_if<sharedstate::ObjectWrite>(&request.m_operation)) {
        const PlatformStatus status = co_await platform.putObject(put->m_name, put->m_body);
        result.m_outcome = toOutcome(status);
    }
    co_return result;
}

} // namespace chervilmount::node
