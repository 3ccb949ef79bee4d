#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/WorkersChanged.h"

namespace by {

/// Applies changes of the worker registry: adds, updates and deregisters workers.
void
HandleWorkersChanged(CellState& aState, const WorkersChanged& aEvent, Time aNow, Effects& aOut);

/// Applies the entry that waits for its process to answer, if that is the one that has answered.
void
ApplyDoubtfulEntry(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut);

} // namespace by
