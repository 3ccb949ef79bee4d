#pragma once

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// @returns whether a worker holds a trial or is about to, so that other tasks are kept off it.
bool
IsKeptForTrial(const WorkerRow& aWorker, Time aNow);

/// Places the suspected tasks of a step on workers where they can harm little, one such group of a
/// step at a time. The members of a gang are placed together if one of them is suspected.
/// @param aCandidates the workers that the step may run on.
/// @returns whether the other tasks of the step may be placed now.
bool
PlaceTrial(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey, const Candidates& aCandidates);

} // namespace by::detail
