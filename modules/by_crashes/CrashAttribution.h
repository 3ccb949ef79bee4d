#pragma once

#include <span>
#include <vector>

#include "by_crashes/CrashRole.h"
#include "by_crashes/RunAtCrash.h"

namespace by {

/// Decides which runs may have caused the crash of their worker.
///
/// A task that crashes its workers does so soon after each start, so the runs still on probation
/// are the suspects; one whose task was suspected before explains the crash alone. Where all of
/// them have passed it, no run is suspected unless one job was alone there, and then with doubt.
/// @param aRuns the runs that may have been active on the worker.
/// @returns the role of each run, in the same order.
std::vector<CrashRole>
AttributeCrash(std::span<const RunAtCrash> aRuns);

} // namespace by
