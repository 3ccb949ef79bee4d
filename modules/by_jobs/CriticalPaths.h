#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_schema/JobDefinition.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// Computes the longest chain of work that begins at each step, the step itself included.
/// @returns one time a step, from the declared estimates.
std::vector<Time>
CriticalPathsFrom(const JobDefinition& aDefinition);

/// @returns the time from a job's arrival in which its queue wants it done.
Time
ObjectiveTime(const JobDefinition& aDefinition, const QueuePolicy& aQueue);

} // namespace by
