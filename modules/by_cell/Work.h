#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by {

/// Does all work that is due after an event: places tasks, sends polls and orders, appends records.
void
AdvanceCell(CellState& aState, Time aNow, Effects& aOut);

/// Does the work that depends on time alone: opens due occurrences, answers callers that have
/// waited too long, updates the rates of teams, expires outcomes, stops hung runs, evacuates
/// draining workers, advances maintenance waves, updates urgencies, and catches placements that
/// events missed.
void
CheckCell(CellState& aState, Time aNow, Effects& aOut);

/// Applies a new configuration and orders the ready steps by it.
void
ConfigureCell(CellState& aState, const ClusterConfig& aConfig);

/// @returns the earliest time at which AdvanceCell() has work without an event.
Time
NextWorkTime(const CellState& aState);

} // namespace by
