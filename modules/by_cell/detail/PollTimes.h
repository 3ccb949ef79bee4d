#pragma once

#include "by_cell/CellState.h"

namespace by::detail {

/// @returns when a run should end, by its progress or else by its declared time.
Time
ExpectedEnd(const WorkerRow& aWorker, const RunRow& aRun, Time aNow);

/// Finds out when the next look at a worker should begin to wait for an end: a little before the
/// first end is expected whose job can't wait, and else after a pause, so that one look shows
/// several ends.
Time
NextPollTime(CellState& aState, const WorkerRow& aWorker, Time aNow);

} // namespace by::detail
