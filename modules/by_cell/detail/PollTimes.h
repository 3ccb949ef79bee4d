#pragma once

#include "by_cell/CellState.h"

namespace by::detail {

/// @returns when a run is expected to end, by its reported progress or else by its declared time.
Time
ExpectedEnd(const WorkerRow& aWorker, const RunRow& aRun, Time aNow);

/// Computes when the next poll of a worker should start to wait for an end.
/// @returns a little before the first expected end whose job is short of time; else the end of an
/// interval, so that one poll reports several ends.
Time
NextPollTime(CellState& aState, const WorkerRow& aWorker, Time aNow);

} // namespace by::detail
