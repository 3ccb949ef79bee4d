#pragma once

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// Queries advice for a step if the pass has a round of queries left for its pool. A late step
/// takes no round while most nodes are busy with jobs that can be on time.
void
QueryInPass(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey);

/// Hands the rounds of steps that had nothing to query to the steps that have waited longest.
void
HandOnEmptyRounds(PlacementPass& aPass);

/// Queries advice for the late step that has waited longest, if its turn has come.
void
QueryLateStep(PlacementPass& aPass);

} // namespace by::detail
