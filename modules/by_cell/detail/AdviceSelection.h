#pragma once

#include <string>
#include <vector>

#include "by_cell/CellState.h"
#include "by_queueing/AdviceCost.h"

namespace by::detail {

/// @returns what a query on a queue costs.
AdviceCost
CostOf(const AdvicePolicy& aPolicy);

/// Selects the workers that the next round of queries on a step lists: those that will have
/// capacity and are not denied. Empty where no query would help.
/// @param aCandidates the workers that may be given new tasks, by name.
std::vector<std::string>
SelectWorkers(const CellState& aState,
              const JobRow& aJob,
              std::uint32_t aOccurrence,
              std::uint32_t aStep,
              const AdvicePolicy& aPolicy,
              const std::vector<WorkerRow*>& aCandidates,
              Time aNow);

} // namespace by::detail
