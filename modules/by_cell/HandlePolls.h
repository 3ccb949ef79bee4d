#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/WorkerPolled.h"

namespace by {

/// Takes over a worker's lists, or counts the look that failed.
void
HandlePolled(CellState& aState, const WorkerPolled& aEvent, Time aNow, Effects& aOut);

/// Sends the looks that are due, and gives workers up whose lease has passed.
void
UpdateWorkers(CellState& aState, Time aNow, Effects& aOut);

} // namespace by
