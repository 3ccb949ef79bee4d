#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/WorkerPolled.h"

namespace by {

/// Applies the report that a worker returned for a poll, or counts the failed poll.
void
HandlePolled(CellState& aState, const WorkerPolled& aEvent, Time aNow, Effects& aOut);

/// Sends the polls that are due.
void
SendDuePolls(CellState& aState, Time aNow, Effects& aOut);

/// Sends the polls and retries that are due, ends the runs of workers whose lease has expired, and
/// removes workers that left the registry and have no runs.
void
UpdateWorkers(CellState& aState, Time aNow, Effects& aOut);

} // namespace by
