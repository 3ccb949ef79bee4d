#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/StartAnswered.h"
#include "by_schema/StopAnswered.h"

namespace by {

/// Takes note of what became of a start.
void
HandleStartAnswered(CellState& aState, const StartAnswered& aEvent, Time aNow, Effects& aOut);

/// Takes note of what became of a stop.
void
HandleStopAnswered(CellState& aState, const StopAnswered& aEvent, Time aNow, Effects& aOut);

} // namespace by
