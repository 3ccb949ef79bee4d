#pragma once

#include <cstdint>
#include <optional>

#include "by_admission/WorkQueue.h"
#include "by_core/Identifier.h"
#include "by_schema/Lane.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Adds a task behind all others of its team, lane and rack.
/// @param aKey what the team's turn in the lane is ordered by.
void
Enqueue(WorkQueue& aQueue, const WorkItem& aItem, Lane aLane, std::int64_t aKey);

/// Takes a task out, wherever it stands.
/// @returns the row, or nothing where it does not wait.
std::optional<QueuedWork>
Dequeue(WorkQueue& aQueue, const TaskId& aTask);

/// Gives a team another turn in one lane.
/// @param aKey what its turn is now ordered by.
void
Reposition(LaneQueue& aLane, const TeamId& aTeam, std::int64_t aKey);

/// @returns the task whose turn it is for a team with work in the lane.
const TaskId&
FirstTaskOf(const LaneQueue& aLane, const TeamId& aTeam);

/// @returns the lanes of a place, or nullptr where nothing waits for it.
LaneQueues*
FindLanes(WorkQueue& aQueue, const RackId& aRack);

} // namespace by
