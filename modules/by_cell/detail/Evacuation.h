#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Takes back from a worker what loses nothing by it: long-running tasks as far as their step's
/// budget for disruptions allows, and, where its machine goes down for upkeep, runs that checkpoint
/// and would not end in time.
/// @param aUntil how long the worker stays.
void
Evacuate(CellState& aState, WorkerRow& aWorker, Time aUntil, Time aNow, Effects& aOut);

/// Evacuates the workers that drain.
void
EvacuateDraining(CellState& aState, Time aNow, Effects& aOut);

/// @returns whether a long-running task at work on a worker may not be taken down now, since as
/// many tasks of its step are away as may be.
bool
HasProtectedRun(CellState& aState, const WorkerRow& aWorker);

} // namespace by::detail
