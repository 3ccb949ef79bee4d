#pragma once

#include <cstdint>
#include <optional>

#include "by_admission/WorkQueue.h"
#include "by_core/Identifier.h"
#include "by_schema/Lane.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Adds a task behind all others of the same team, lane and rack.
/// @param aKey the team's scheduling key.
void
Enqueue(WorkQueue& aQueue, const WorkItem& aItem, Lane aLane, std::int64_t aKey);

/// Removes a task from the queue.
/// @returns the removed row, or nothing if the task is not queued.
std::optional<QueuedWork>
Dequeue(WorkQueue& aQueue, const TaskId& aTask);

/// Changes the position of a team in one lane. Does nothing if the team has no tasks there.
/// @param aKey the team's new scheduling key.
void
Reposition(LaneQueue& aLane, const TeamId& aTeam, std::int64_t aKey);

/// @returns the next task of a team, which must have tasks in the lane.
const TaskId&
FirstTaskOf(const LaneQueue& aLane, const TeamId& aTeam);

/// @returns the lanes of the tasks bound to a rack, or of unbound tasks if aRack is empty; nullptr
/// if there are none.
LaneQueues*
FindLanes(WorkQueue& aQueue, const RackId& aRack);

} // namespace by
