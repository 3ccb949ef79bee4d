#pragma once

#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/RackTasks.h"
#include "by_intents/TaskKey.h"

namespace by::detail {

/// @returns the tracked task, or null.
TrackedTask*
FindTrackedTask(RackTasks& aTasks, const TaskKey& aKey);

/// Tracks a task and replaces an older generation of it.
TrackedTask&
TrackTask(RackTasks& aTasks, const TaskKey& aKey, TrackedTask aTask);

/// Moves a task to another phase and schedules it for the next step.
void
SetPhase(RackTasks& aTasks, const TaskKey& aKey, TaskPhase aPhase, Time aSince);

/// Moves a task to phase Ended; its end is reported until it is in the log.
void
EndTrackedTask(RackTasks& aTasks,
               const TaskKey& aKey,
               TaskState aEnd,
               std::string_view aDetail,
               Time aNow);

/// Sets the VM on which capacity is reserved for a task.
void
SetVm(RackTasks& aTasks, const TaskKey& aKey, const VmId& aVm);

/// Stops tracking a task.
void
UntrackTask(RackTasks& aTasks, const TaskKey& aKey);

} // namespace by::detail
