#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "by_core/Time.h"
#include "by_crashes/TrialHost.h"

namespace by {

/// @returns how many workers of a pool may hold trials at the same time, those included that have
/// crashed under one and are not back yet.
/// @param aWorkers the usable workers of the pool.
std::size_t
TrialLimit(std::size_t aWorkers);

/// @returns whether a worker's last answer is recent enough to tell that it was alive when a start
/// was sent; a crash then is no earlier one that went unnoticed.
bool
IsAnswerRecent(Time aAnsweredAt, Time aStartedAt);

/// Chooses the workers for a trial: idle ones, or after a wait those whose crash would end the
/// fewest runs.
/// @param aTasks the tasks that are tried together.
/// @param aWaited how long the trial has waited for workers.
/// @returns the indices of the workers in the order of their use; empty while there are not enough.
/// Workers without a recent answer are among them and have to be polled first.
std::vector<std::size_t>
ChooseTrialHosts(std::span<const TrialHost> aHosts, std::size_t aTasks, Time aWaited);

} // namespace by
