#pragma once

#include <optional>
#include <vector>

#include "backend_server/ServerState.h"
#include "by_schema/BackendCounters.h"
#include "by_schema/LeaseGrant.h"
#include "by_schema/LeaseRequest.h"
#include "by_schema/TaskCommand.h"
#include "by_schema/TaskResult.h"
#include "by_schema/TaskStart.h"

namespace by::standins {

/// Grants or renews the lease; a lower epoch than the highest seen is refused, and so is a request
/// that comes past its time.
LeaseGrant
GrantLease(ServerState& aServer, const LeaseRequest& aRequest, Time aNow);

/// Starts a task.
/// @returns what is answered at once: a refusal, or a detached task that runs; nothing where the
/// answer follows at the task's end.
std::optional<TaskResult>
StartTask(ServerState& aServer, const TaskStart& aStart, Time aNow);

/// @returns whether a task that crashes the server has come to its end.
bool
IsCrashDue(const ServerState& aServer, Time aNow);

/// Ends the tasks whose time has come, and all tasks where the lease has lapsed.
/// @returns their results, detached ones included.
std::vector<TaskResult>
EndDueTasks(ServerState& aServer, Time aNow);

/// Lets a running task end before its time.
/// @returns its result; nothing where it does not run.
std::optional<TaskResult>
FinishTask(ServerState& aServer, const TaskId& aTask, Time aNow);

/// Stops, checkpoints, throttles or resumes a task; a command under a lower epoch is ignored.
/// @returns the task's result where it ended.
std::optional<TaskResult>
ActOnTask(ServerState& aServer, const TaskCommand& aCommand, Time aNow);

/// Loses the tasks and the lease, as a new machine under the same name would.
void
LoseState(ServerState& aServer, std::uint64_t aIncarnation);

/// @returns when the next task ends or the lease lapses; nothing where no task runs.
std::optional<Time>
NextDue(const ServerState& aServer);

/// @returns what was counted.
BackendCounters
CountersOf(const ServerState& aServer);

} // namespace by::standins
