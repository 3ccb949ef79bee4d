#pragma once

#include <string>
#include <vector>

#include "by_cell/CellState.h"
#include "by_cell/Effects.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns the workers of a pool that may be given new tasks.
std::vector<WorkerRow*>
UsableWorkers(CellState& aState, const std::string& aPool, Time aNow);

/// @returns whether a worker has a label; an empty one is had by all.
bool
HasLabel(const WorkerRow& aWorker, const std::string& aLabel);

/// @returns whether a worker has the label and the room for one more task of a step.
bool
CanHost(const WorkerRow& aWorker, const JobStep& aStep);

/// Places tasks of ready steps, in their order, wherever there is room.
/// @returns how many tasks were placed.
std::size_t
PlaceTasks(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
