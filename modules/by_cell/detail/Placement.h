#pragma once

#include <cstddef>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"

namespace by::detail {

/// Places tasks of ready steps, in scheduling order, wherever there is free capacity.
/// @returns how many tasks were placed.
std::size_t
PlaceTasks(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
