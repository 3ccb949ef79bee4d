#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Requeues those runs of a worker that lose no work when stopped: long-running tasks within their
/// step's disruption budget, and, before the maintenance of the machine, runs that checkpoint and
/// would not end in time.
/// @param aUntil when the worker leaves.
void
Evacuate(CellState& aState, WorkerRow& aWorker, Time aUntil, Time aNow, Effects& aOut);

/// Evacuates all draining workers that answer polls.
void
EvacuateDraining(CellState& aState, Time aNow, Effects& aOut);

/// @returns whether a worker hosts a long-running task that may not be stopped now, because the
/// disruption budget of its step is used up.
bool
HasProtectedRun(CellState& aState, const WorkerRow& aWorker);

} // namespace by::detail
