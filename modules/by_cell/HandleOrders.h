#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"

namespace by {

/// Applies a worker's answer to a start order: confirms the run, schedules a retry, or requeues the
/// task.
void
HandleStartAnswered(CellState& aState, const StartAnswered& aEvent, Time aNow, Effects& aOut);

/// Applies a worker's answer to a stop order: marks the stop as confirmed, or schedules a retry.
void
HandleStopAnswered(CellState& aState, const StopAnswered& aEvent, Time aNow, Effects& aOut);

} // namespace by
