#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/LeaseGrant.h"
#include "by_schema/TaskStatus.h"
#include "by_schema/VmDescription.h"

namespace by {

/// Adds a VM that this node may now place tasks on, or updates it. A known VM keeps its committed
/// resources; a VM that is leaving gets no new tasks.
void
PutVm(Scheduler& aScheduler, const VmDescription& aVm, Time aNow);

/// Removes a VM that this node may no longer place tasks on, and releases its tasks.
void
RemoveVm(Scheduler& aScheduler, const VmId& aVm);

/// Adopts a running task that an inventory reported. Its resources are committed even if they
/// exceed the capacity of the VM. If the task is queued, it leaves the queue, with its whole gang.
/// Does nothing if the VM is unknown or the task already holds resources.
void
AdoptTask(Scheduler& aScheduler, const VmId& aVm, const TaskStatus& aStatus, const TeamId& aTeam);

/// Reduces the free capacity of a VM by the observed usage above the committed resources, and
/// updates the usage estimates of the kinds of work that run on it. Usage reports lag behind the
/// actual usage.
void
ObserveUsage(Scheduler& aScheduler, const VmId& aVm, const LeaseGrant& aGrant, Time aNow);

} // namespace by
