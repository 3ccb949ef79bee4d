#pragma once

#include <optional>

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/PlacedWork.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Places a task now, or does nothing. Never goes ahead of queued work of the same lane.
std::optional<PlacedWork>
TryPlace(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem, Time aNow);

/// Places a task, queues it or refuses it with the reason. One that is already queued or running
/// is refused as invalid.
/// @returns what became of it, with other work that could be placed or has to give way by this;
/// nothing about the task means that it is queued.
ScheduleOutcome
SubmitWork(Scheduler& aScheduler,
           const SchedulingPolicy& aPolicy,
           const WorkItem& aItem,
           Time aNow);

} // namespace by
