#pragma once

#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// @returns when the lease of a worker has expired for certain if it does not answer from now on.
Time
LeaseExpiry(const CellState& aState, const WorkerRow& aWorker);

/// Stops renewing the lease of a worker that does not answer.
void
StopRenewingLease(CellState& aState, WorkerRow& aWorker, Effects& aOut);

/// Ends the runs of a worker whose process has restarted, except for starts that may still be
/// carried out, and begins its next incarnation.
/// @param aReason the cause for the log.
void
ResetIncarnation(CellState& aState,
                 WorkerRow& aWorker,
                 const char* aReason,
                 Time aNow,
                 Effects& aOut);

/// Ends all runs of a worker at whose address another worker answers: its process is gone and
/// carries out no more orders.
void
RetireWorker(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut);

/// @returns whether a worker process with this start time can be the known one; an unknown time
/// matches any.
bool
IsSameIncarnation(const WorkerRow& aWorker, Time aProcessStart);

/// Marks this owner as fenced, because a worker has seen a newer epoch.
void
MarkFencedByWorker(CellState& aState, const std::string& aWorker, Effects& aOut);

} // namespace by::detail
