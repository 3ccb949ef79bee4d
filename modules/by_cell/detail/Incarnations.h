#pragma once

#include <string>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// @returns when nothing can run on a worker any more that does not answer from now on.
Time
LeaseExpiry(const CellState& aState, const WorkerRow& aWorker);

/// Leaves the lease of a worker that does not answer to lapse.
void
StopRenewingLease(CellState& aState, WorkerRow& aWorker, Effects& aOut);

/// Begins the next life of a worker: all that ran under its name is over, but for starts that may
/// still come.
void
ResetIncarnation(CellState& aState,
                 WorkerRow& aWorker,
                 const char* aReason,
                 Time aNow,
                 Effects& aOut);

/// Ends a worker at whose address another answers: its process is gone and takes no order any more.
void
RetireWorker(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut);

/// @returns whether a worker that was born then can be the one that is known.
bool
IsSameIncarnation(const WorkerRow& aWorker, Time aProcessStart);

/// Takes note that a worker has seen a newer owner.
void
MarkFencedByWorker(CellState& aState, const std::string& aWorker, Effects& aOut);

} // namespace by::detail
