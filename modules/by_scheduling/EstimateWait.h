#pragma once

#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/Lane.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Estimates when a task that is queued now would start, from the number of running tasks, their
/// mean run time and the number of tasks ahead in the queue. The team's share bounds the number of
/// tasks ahead, so that a team with few queued tasks is not delayed by the backlog of another team.
/// @returns the estimated wait; zero if nothing is running or no run time is known.
Time
WaitByLane(const Scheduler& aScheduler, const WorkItem& aItem, Lane aLane);

/// Disables wait estimates for the baseline policies, which refuse work only after its deadline has
/// passed.
/// @returns zero.
Time
NoEstimate(const Scheduler& aScheduler, const WorkItem& aItem, Lane aLane);

} // namespace by
