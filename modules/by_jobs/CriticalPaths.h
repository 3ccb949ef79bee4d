#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_schema/JobDefinition.h"
#include "by_schema/QueuePolicy.h"

namespace by {

/// Computes the critical path from each step to the end of the job, the step itself included.
/// @returns one duration for each step, from the declared estimates.
std::vector<Time>
CriticalPathsFrom(const JobDefinition& aDefinition);

/// @returns how long after its arrival a job can start and still finish within ObjectiveTime(), by
/// the declared estimates.
Time
SlackTime(const JobDefinition& aDefinition, const QueuePolicy& aQueue);

/// @returns the time from a job's arrival within which its queue aims to finish it.
Time
ObjectiveTime(const JobDefinition& aDefinition, const QueuePolicy& aQueue);

} // namespace by
