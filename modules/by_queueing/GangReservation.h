#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "by_core/Time.h"
#include "by_queueing/SlotForecast.h"

namespace by {

/// Chooses the workers whose free capacity is reserved for a gang that cannot start yet.
///
/// Load pattern: the pool is full, and independent tasks take each slot as it becomes
/// free, so that a gang never finds slots for all of its members at once. Reserving a few workers
/// lets their capacity add up. Nothing is reserved unless the gang can be expected to start soon.
/// @returns the indices of the workers to reserve; empty if they will not have capacity for the
/// gang.
std::vector<std::size_t>
ChooseReservedWorkers(std::span<const SlotForecast> aHosts, std::size_t aTasks);

/// @returns whether a task may use capacity that is reserved for a gang: it ends before the gang is
/// expected to start, or has to start soon to meet its job's objective.
/// @param aExpectedEnd when the task would end.
/// @param aLatestStart the latest start of the task with its job still on time.
/// @param aReservedUntil when the gang is expected to start.
bool
MayBackfill(Time aExpectedEnd, Time aLatestStart, Time aReservedUntil, Time aNow);

} // namespace by
