#pragma once

#include <cstdint>

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// @returns whether a worker holds a trial or is about to, so that other tasks are kept off it.
bool
IsKeptForTrial(const WorkerRow& aWorker, Time aNow);

/// What a step does after the pass over its suspected tasks.
enum class TrialOutcome : std::uint8_t
{
  /// Its other tasks may be placed.
  PlaceOthers,
  /// A trial lacks workers that the step may run on.
  NeedsWorkers,
  /// Its other tasks may be placed, and those that are weakly suspected beside them, since no
  /// trial of their own came about in time.
  PlaceWeaklySuspected,
  /// A trial is open or has been placed, or waits for its turn.
  Wait,
};

/// Places the suspected tasks of a step on workers where they can harm little, one such group of a
/// step at a time. The members of a gang are placed together if one of them is suspected.
/// @param aCandidates the workers that the step may run on.
TrialOutcome
PlaceTrial(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey, const Candidates& aCandidates);

} // namespace by::detail
