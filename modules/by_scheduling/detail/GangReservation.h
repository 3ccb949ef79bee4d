#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/QueuedGang.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Adds a gang to the end of the gang queue.
void
EnqueueGang(Scheduler& aScheduler, std::vector<WorkItem> aTasks);

/// Removes a gang from the gang queue. Resources that its tasks hold stay reserved.
/// @returns the removed row.
QueuedGang
DequeueGang(Scheduler& aScheduler, std::uint64_t aSequence);

/// Removes the queued gang of a task and releases its resources.
/// @returns whether the task belongs to a queued gang.
bool
RemoveGangOf(Scheduler& aScheduler, const TaskId& aTask);

/// Reserves VMs for the gang that is reserving resources, starting at the rack after
/// mLastReservedRack.
/// @param aCount the number of VMs; fewer are reserved if not enough are eligible.
void
ReserveVms(Scheduler& aScheduler, std::size_t aCount);

/// Makes the reserved VMs available to other work.
void
UnreserveVms(Scheduler& aScheduler);

/// Releases the resources of a gang's tasks and ends its reservation.
void
ReleaseGangResources(Scheduler& aScheduler, const QueuedGang& aGang);

} // namespace by
