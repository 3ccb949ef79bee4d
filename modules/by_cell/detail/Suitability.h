#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "by_cell/CellState.h"
#include "by_schema/JobStep.h"

namespace by::detail {

/// @returns whether a worker of a pool may be given new tasks.
bool
IsUsable(const WorkerRow& aWorker, const std::string& aPool, Time aNow);

/// @returns the workers of a pool that may be given new tasks.
std::vector<WorkerRow*>
UsableWorkers(CellState& aState, const std::string& aPool, Time aNow);

/// @returns whether a worker has a label; every worker has the empty one.
bool
HasLabel(const WorkerRow& aWorker, const std::string& aLabel);

/// @returns whether a step must not share a worker with the runs there: tasks that use idle
/// processor time raise the response times of latency-sensitive tasks, so the two are never placed
/// together.
bool
Interferes(const WorkerRow& aWorker, const JobStep& aStep);

/// @returns whether a worker has the required label and the free capacity for one more task of a
/// step, and no runs that the step must not share a worker with.
bool
CanHost(const WorkerRow& aWorker, const JobStep& aStep);

/// How well a worker suits a step; lower is better.
using Suitability = std::pair<std::int64_t, std::int64_t>;

/// @returns the latest start of a step with its job still on time.
Time
LatestStart(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep);

/// @returns whether a job can still be on time if a step starts now. Declared times are rough, so
/// that a step counts a little longer than until its latest start. Long-running tasks are never
/// late, since they are missed until they run again.
bool
CanBeOnTime(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow);

/// Computes how many times its declared time a step may take with its job still on time.
/// @returns the factor; zero or less where the job is late.
double
SpareFactor(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep, Time aNow);

/// Rates a worker's speed for a step. Of the workers that are fast enough the slowest ranks first,
/// so that fast ones stay free for work that needs them; of the others the fastest ranks first.
/// @param aSpare the result of SpareFactor().
Suitability
SuitabilityOf(const CellState& aState,
              const WorkerRow& aWorker,
              const JobStep& aStep,
              double aSpare);

} // namespace by::detail
