#pragma once

#include <cstdint>
#include <string>
#include <utility>
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

/// Tells whether a step must be kept away from a worker: tasks that use idle processor time raise
/// the response times of tasks that serve beside them, so the two are never placed together.
bool
Interferes(const WorkerRow& aWorker, const JobStep& aStep);

/// @returns whether a worker has the label and the room for one more task of a step.
bool
CanHost(const WorkerRow& aWorker, const JobStep& aStep);

/// How well a worker suits a step; lower is better.
using Suitability = std::pair<std::int64_t, std::int64_t>;

/// Computes how much longer than declared a step may take for its job to be on time.
/// @returns the factor; at or below zero where the job is late.
double
SpareFactor(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow);

/// Rates a worker's speed for a step: of the workers that are quick enough the slowest comes first,
/// so that quick ones stay free for work that needs them; of the others the quickest.
/// @param aSpare what SpareFactor() gives.
Suitability
SuitabilityOf(const CellState& aState,
              const WorkerRow& aWorker,
              const JobStep& aStep,
              double aSpare);

/// Places tasks of ready steps, in their order, wherever there is room.
/// @returns how many tasks were placed.
std::size_t
PlaceTasks(CellState& aState, Time aNow, Effects& aOut);

} // namespace by::detail
