#pragma once

#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// @returns the runs that may have been active on a worker when it was last heard of.
std::vector<LostRun>
ActiveRuns(CellState& aState, const WorkerRow& aWorker);

/// Handles the end of a worker's process that was not announced. A process that drained or was
/// evacuated has not crashed.
/// @param aReason what shows that the process has ended.
void
RecordCrash(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut);

/// Records the crash of workers whose machine runs a new worker.
void
RecordReplacedWorkers(CellState& aState,
                      const WorkerRegistration& aEntry,
                      Time aNow,
                      Effects& aOut);

} // namespace by::detail
