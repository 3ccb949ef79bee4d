#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "by_core/Time.h"
#include "by_queueing/HostOutlook.h"

namespace by {

/// Chooses the workers whose room is held for a gang that cannot start yet.
///
/// Load pattern: the pool is full, and tasks that start alone take each piece of room as it
/// appears, so that a gang never sees room for all of its members at once. Holding a few workers
/// lets their room add up. Nothing is held unless the gang can be expected to start soon.
/// @returns the indices of the workers to hold; empty if they will not have room for the gang.
std::vector<std::size_t>
ChooseHeldWorkers(std::span<const HostOutlook> aHosts, std::size_t aTasks);

/// @returns whether a task may use room that is held for a gang: it ends before the gang is
/// expected to start, or has to start soon to meet its job's objective.
/// @param aExpectedEnd when the task would end.
/// @param aLatestStart the latest start of the task with its job still on time.
/// @param aHeldUntil when the gang is expected to start.
bool
MayUseHeldRoom(Time aExpectedEnd, Time aLatestStart, Time aHeldUntil, Time aNow);

} // namespace by
