#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/RackTasks.h"
#include "by_schema/PlacedWork.h"
#include "by_schema/RefusedWork.h"
#include "by_schema/TaskResult.h"
#include "by_schema/TaskStatus.h"

namespace by {

/// Handles the complete inventory of a VM, reported under an epoch that the last StepRackTasks call
/// knew. Tasks of requests are ignored. A task that runs there is tracked. A task that was known to
/// run there before the inventory was requested, and is not listed, is lost.
/// @param aRack the VM's rack.
/// @param aSentAt when the lease request that asked for the inventory was sent.
/// @param aClockDrift maximum difference between the server's clock and this node's.
void
ObserveInventory(RackTasks& aTasks,
                 const VmId& aVm,
                 const RackId& aRack,
                 const std::vector<TaskStatus>& aInventory,
                 Time aSentAt,
                 Time aClockDrift,
                 Time aNow);

/// Handles the status of a single task, such as one that ended, without a complete inventory.
void
ObserveTaskStatus(RackTasks& aTasks,
                  const VmId& aVm,
                  const RackId& aRack,
                  const TaskStatus& aStatus,
                  Time aNow);

/// Handles the placement of an offered task on a VM.
/// @returns whether the task is still needed; otherwise the caller releases the reservation.
bool
ObservePlaced(RackTasks& aTasks, const PlacedWork& aPlaced, Time aNow);

/// Handles the refusal of an offered task for lack of capacity.
void
ObserveRefused(RackTasks& aTasks, const RefusedWork& aRefused, Time aNow);

/// Handles a backend server's answer to a start.
void
ObserveTaskResult(RackTasks& aTasks, const VmId& aVm, const TaskResult& aResult, Time aNow);

/// Handles a start that a backend server did not answer.
/// @param aMayHaveStarted whether the start may have reached the server.
void
ObserveUnanswered(RackTasks& aTasks,
                  const VmId& aVm,
                  const TaskId& aTask,
                  std::uint64_t aGeneration,
                  bool aMayHaveStarted,
                  const std::string& aDetail,
                  Time aNow);

/// Handles the loss of a VM. Its tasks are reported lost only after its lease has expired, so that
/// none of them runs in two places.
/// @param aLeaseEnd when the VM's last lease has certainly expired, including time to live and
///        clock drift.
void
ObserveVmLost(RackTasks& aTasks, const VmId& aVm, Time aLeaseEnd);

} // namespace by
