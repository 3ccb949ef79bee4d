#pragma once

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by {

/// Does all work that is due after an event: places tasks, sends looks and orders, appends records.
void
AdvanceCell(CellState& aState, Time aNow, Effects& aOut);

/// Does what only time brings about: occurrences that come up, callers that waited long, outcomes
/// that are no longer kept, placements that events missed.
void
CheckCell(CellState& aState, Time aNow, Effects& aOut);

/// Takes over a new configuration.
void
ConfigureCell(CellState& aState, const ClusterConfig& aConfig);

/// @returns when work will be due without an event.
Time
NextWorkTime(const CellState& aState);

} // namespace by
