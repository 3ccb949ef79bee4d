#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Marks a step that no registered worker of its pool could host even without other runs. It leaves
/// its place among the ready steps to those that can run, until workers change.
/// @returns whether the step is marked.
bool
MarkIfInfeasible(CellState& aState, const ReadyKey& aKey, Effects& aOut);

/// Takes the mark from the steps that workers have the capacity for by now.
void
UnmarkFeasibleSteps(CellState& aState, Effects& aOut);

} // namespace by::detail
