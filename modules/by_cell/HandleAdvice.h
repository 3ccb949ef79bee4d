#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/AdviceAnswered.h"

namespace by {

/// Stores the advice service's answer on which workers may run a step, and requests a placement
/// pass.
void
HandleAdvice(CellState& aState, const AdviceAnswered& aEvent, Time aNow, Effects& aOut);

} // namespace by
