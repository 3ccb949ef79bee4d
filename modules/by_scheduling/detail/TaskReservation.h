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

/// Commits a task's room in every table.
/// @param aStragglerAt when it counts as a straggler; never for work that is not short.
void
ReserveResources(Scheduler& aScheduler, RunningTask aTask, Time aStragglerAt);

/// @returns the row of a task that gets room on a VM now.
RunningTask
RunningTaskFrom(const WorkItem& aItem,
                const Resources& aDemand,
                const VmId& aVm,
                Lane aLane,
                Time aNow);

/// Commits a VM's room to a task that is not short, in every table.
void
ReserveForTask(Scheduler& aScheduler,
               const WorkItem& aItem,
               const Resources& aDemand,
               const VmId& aVm,
               Lane aLane,
               Time aNow);

/// Gives a task's room back in every table.
/// @returns the row, or nothing where the task holds no room.
std::optional<RunningTask>
ReleaseTask(Scheduler& aScheduler, const TaskId& aTask);

/// Notes that a running task was asked to give way; it holds its room until it ends.
void
MarkPreempted(Scheduler& aScheduler, const TaskId& aTask, Time aNow);

/// Moves tasks that ran past their kind's usual length from the short lane to the long one.
void
MoveStragglers(Scheduler& aScheduler, Time aNow);

} // namespace by
