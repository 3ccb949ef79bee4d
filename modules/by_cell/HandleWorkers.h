#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/AdviceAnswered.h"
#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"
#include "by_schema/WorkerLooked.h"
#include "by_schema/WorkersChanged.h"

namespace by {

/// Takes over what the registry says of workers.
void
HandleWorkersChanged(CellState& aState, const WorkersChanged& aEvent, Time aNow, Effects& aOut);

/// Takes over a worker's lists, or counts the look that failed.
void
HandleLooked(CellState& aState, const WorkerLooked& aEvent, Time aNow, Effects& aOut);

/// Takes note of what became of a start.
void
HandleStartAnswered(CellState& aState, const StartAnswered& aEvent, Time aNow, Effects& aOut);

/// Takes note of what became of a stop.
void
HandleStopAnswered(CellState& aState, const StopAnswered& aEvent, Time aNow, Effects& aOut);

/// Takes over which workers may run a step.
void
HandleAdvice(CellState& aState, const AdviceAnswered& aEvent, Time aNow, Effects& aOut);

/// Sends the looks that are due, and gives workers up whose lease has passed.
void
TendWorkers(CellState& aState, Time aNow, Effects& aOut);

} // namespace by
