#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/AdviceAnswered.h"

namespace by {

/// Takes over which workers may run a step.
void
HandleAdvice(CellState& aState, const AdviceAnswered& aEvent, Time aNow, Effects& aOut);

} // namespace by
