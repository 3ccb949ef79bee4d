#pragma once

#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// Queries advice for a step if the pass has a round of queries left for its pool.
void
QueryInPass(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey);

/// Hands the rounds of steps that had nothing to query to the steps that have waited longest.
void
HandOnEmptyRounds(PlacementPass& aPass);

} // namespace by::detail
