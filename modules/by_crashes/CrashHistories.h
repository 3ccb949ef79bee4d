#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_crashes/CrashHistory.h"
#include "by_crashes/CrashRole.h"

namespace by {

/// @returns the weight of a crash as evidence against a task with a role in it.
std::uint32_t
BlameOf(CrashRole aRole);

/// @returns the history with one more crash, or unchanged where it has the run already. A history
/// whose last crash lies long ago begins anew.
CrashHistory
WithCrash(CrashHistory aHistory, std::uint32_t aRun, CrashRole aRole, Time aNow);

/// @returns the history of a task that is not to blame for its last crash after all.
CrashHistory
WithoutBlame(CrashHistory aHistory, CrashRole aRole);

/// @returns whether the task is started only on a worker where it can harm little and where a crash
/// would show that it is the cause.
bool
NeedsTrial(const CrashHistory& aHistory);

/// @returns whether the task crashes the workers that start it, so that it can't be done: three
/// have crashed under it, and two of them had no other run to blame.
bool
IsHopeless(const CrashHistory& aHistory);

/// @returns how long a run of the task has to go on before it counts as harmless; longer with each
/// crash, since some tasks crash their worker only after a time.
Time
ProbationOf(const CrashHistory& aHistory);

} // namespace by
