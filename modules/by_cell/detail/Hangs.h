#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Stops runs whose worker lists no progress for too long, and sets their worker aside.
void
StopHungRuns(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
