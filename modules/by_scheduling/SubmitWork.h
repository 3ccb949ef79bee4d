#pragma once

#include <optional>

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/PlacedWork.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Places a task if a VM has capacity now and no task of the same lane and rack is queued ahead of
/// it. Otherwise changes nothing.
/// @returns the placed task, or nothing.
std::optional<PlacedWork>
TryPlace(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem, Time aNow);

/// Places a task, queues it, or refuses it with the reason. A task that is already queued or
/// running is refused as invalid.
/// @returns the result for the task and for other work that was placed or preempted because of it.
/// If the result does not name the task, the task is queued.
ScheduleOutcome
SubmitWork(Scheduler& aScheduler,
           const SchedulingPolicy& aPolicy,
           const WorkItem& aItem,
           Time aNow);

} // namespace by
