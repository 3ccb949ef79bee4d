#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Places all tasks of a gang on this node's VMs, queues the gang, or refuses all its tasks. While
/// the gang is queued, Dispatch() reserves resources for it and reports its tasks as placed
/// together.
/// @param aTasks the gang's tasks, at least one, all of the same team.
ScheduleOutcome
SubmitGang(Scheduler& aScheduler,
           const SchedulingPolicy& aPolicy,
           const std::vector<WorkItem>& aTasks,
           Time aNow);

} // namespace by
