#pragma once

#include <optional>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/Lane.h"
#include "by_schema/Resources.h"
#include "by_schema/RunningTask.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Commits a task's resources in all tables.
/// @param aStragglerAt when the task becomes a straggler; never for work that is not short.
void
ReserveResources(Scheduler& aScheduler, RunningTask aTask, Time aStragglerAt);

/// @returns the row of a task that is placed on a VM now.
RunningTask
RunningTaskFrom(const WorkItem& aItem,
                const Resources& aDemand,
                const VmId& aVm,
                Lane aLane,
                Time aNow);

/// Commits resources on a VM for a task that is not short, in all tables.
void
ReserveForTask(Scheduler& aScheduler,
               const WorkItem& aItem,
               const Resources& aDemand,
               const VmId& aVm,
               Lane aLane,
               Time aNow);

/// Releases a task's resources in all tables.
/// @returns the removed row, or nothing if the task holds no resources.
std::optional<RunningTask>
ReleaseTask(Scheduler& aScheduler, const TaskId& aTask);

/// Marks a running task as preempted. It holds its resources until it ends.
void
MarkPreempted(Scheduler& aScheduler, const TaskId& aTask, Time aNow);

/// Moves running short tasks that have become stragglers to the long lane.
void
MoveStragglers(Scheduler& aScheduler, Time aNow);

} // namespace by
