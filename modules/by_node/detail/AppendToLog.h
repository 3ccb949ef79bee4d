#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_log_state/LogRecordBody.h"

namespace by {

class AppendFailed;
class LogEntry;

namespace detail {

struct StepWork;

/// Queues a record for the log.
/// @param aExpires the record is dropped if it was not sent by this time. A record that expires is
///        also dropped when its append fails and it was certainly not appended.
/// @returns the record's id.
RecordId
QueueRecord(StepWork& aWork, LogRecordBody aBody, Time aExpires = Time::Never());

/// Sends waiting records within the append budget, unless an append is in flight.
void
FlushRecords(StepWork& aWork);

/// Clears the append in flight after the platform accepted it.
void
ObserveAppendDone(StepWork& aWork);

/// Requeues the records of a failed append at the front, except those that expire and were
/// certainly not appended, which are dropped.
/// @returns the dropped records.
std::vector<RecordId>
ObserveAppendFailed(StepWork& aWork, const AppendFailed& aFailed);

/// Removes a queued record that already appears in the log.
void
ObserveOwnRecord(StepWork& aWork, const LogEntry& aEntry);

} // namespace detail
} // namespace by
