#pragma once

#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/RackTasks.h"
#include "by_intents/TaskKey.h"

namespace by::detail {

/// @returns the task as this owner sees it, or null.
TrackedTask*
FindTrackedTask(RackTasks& aTasks, const TaskKey& aKey);

/// Takes a task up, in place of an older generation of it.
TrackedTask&
TrackTask(RackTasks& aTasks, const TaskKey& aKey, TrackedTask aTask);

/// Moves a task to another phase and has the next step look at it.
void
SetPhase(RackTasks& aTasks, const TaskKey& aKey, TaskPhase aPhase, Time aSince);

/// Moves a task to its end, which is reported until the log shows it.
void
EndTrackedTask(RackTasks& aTasks,
               const TaskKey& aKey,
               TaskState aEnd,
               std::string_view aDetail,
               Time aNow);

/// Gives a task the VM that holds its room.
void
SetVm(RackTasks& aTasks, const TaskKey& aKey, const VmId& aVm);

/// Forgets a task.
void
UntrackTask(RackTasks& aTasks, const TaskKey& aKey);

} // namespace by::detail
