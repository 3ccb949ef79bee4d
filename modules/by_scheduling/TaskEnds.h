#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/TaskState.h"

namespace by {

/// Releases a task's resources, updates the estimates for its kind of work, and counts failures
/// against its VM. Does nothing if the task holds no resources.
/// @param aRan the run time of the task.
void
TaskEnded(Scheduler& aScheduler, const TaskId& aTask, TaskState aState, Time aRan, Time aNow);

/// Removes a task from the queue. If the task belongs to a queued gang, removes the whole gang.
/// Running tasks are not affected.
/// @returns whether the task was queued.
bool
CancelWork(Scheduler& aScheduler, const TaskId& aTask);

} // namespace by
