#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/RunEnd.h"

namespace by::detail {

/// Updates a worker's slowness with the duration of a run that was done.
void
UpdateSlowness(WorkerRow& aWorker, const RunRow& aRun, Time aNow);

/// Counts consecutive failed runs of a worker, and quarantines the worker at the limit.
void
UpdateFailures(const CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut);

} // namespace by::detail
