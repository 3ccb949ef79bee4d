#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Requeues runs that have reported no progress for too long, and quarantines their workers.
void
StopHungRuns(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
