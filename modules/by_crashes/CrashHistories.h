#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_crashes/CrashHistory.h"
#include "by_crashes/CrashedRun.h"

namespace by {

/// @returns the weight of all evidence against the task.
std::uint32_t
BlameOf(const CrashHistory& aHistory);

/// @returns the history with one more crash, or unchanged where it has the run already. A history
/// whose last crash lies long ago begins anew, and crashes at a far greater age are left out.
CrashHistory
WithCrash(CrashHistory aHistory, const CrashedRun& aRun, Time aNow);

/// @returns the history with one more run that may have crashed its worker unseen, or unchanged
/// where it has the run already.
CrashHistory
WithLapse(CrashHistory aHistory, std::uint32_t aRun);

/// @returns the history without a run that turned out not to have crashed its worker.
CrashHistory
WithoutLapse(CrashHistory aHistory, std::uint32_t aRun);

/// @returns the history with another weight for the crash of a run, if it has it.
CrashHistory
WithBlame(CrashHistory aHistory, std::uint32_t aRun, std::uint32_t aBlame);

/// @returns the history after a run of the task has gone on for a time. A task that crashes its
/// workers does so each time at about the same age, so this clears the earlier crashes at a younger
/// age.
CrashHistory
WithSurvival(CrashHistory aHistory, Time aAge);

/// @returns whether the task is started only on a worker where it can harm little and where a crash
/// would show that it is the cause.
bool
NeedsTrial(const CrashHistory& aHistory);

/// @returns whether the evidence is so weak that the task is more likely healthy than not, so that
/// its trial may take place beside other tasks.
bool
IsWeaklySuspected(const CrashHistory& aHistory);

/// @returns whether so many workers have crashed under the task that it is tried only while a crash
/// would be conclusive, since few starts are left until it is given up.
bool
NeedsCalmTrial(const CrashHistory& aHistory);

/// @returns whether the task crashes the workers that start it, so that it can't be done.
bool
IsHopeless(const CrashHistory& aHistory);

/// @returns how long a run of the task has to go on before it counts as harmless: long enough to
/// clear the crashes of the history.
Time
ProbationOf(const CrashHistory& aHistory);

} // namespace by
