#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_schema/QueuedGang.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Adds a gang to those that wait.
void
EnqueueGang(Scheduler& aScheduler, std::vector<WorkItem> aTasks);

/// Takes a gang out of those that wait. What its tasks hold they keep.
/// @returns the row.
QueuedGang
DequeueGang(Scheduler& aScheduler, std::uint64_t aSequence);

/// Takes the waiting gang of a task out and gives all its room back.
/// @returns whether the task belongs to a waiting gang.
bool
RemoveGangOf(Scheduler& aScheduler, const TaskId& aTask);

/// Keeps the room of so many VMs for the gang that is being gathered, from behind the rack that
/// was used last.
void
ReserveVms(Scheduler& aScheduler, std::size_t aCount);

/// Lets the VMs that are held take other work again.
void
UnreserveVms(Scheduler& aScheduler);

/// Gives back what the gang's tasks hold and ends its gathering.
void
ReleaseGangResources(Scheduler& aScheduler, const QueuedGang& aGang);

} // namespace by
