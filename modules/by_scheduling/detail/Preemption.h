#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// Preempts deferrable tasks of the team with the highest dominant share, for queued work that is
/// not bound to a rack. For urgent or short work of a team up to ShortWorkShareLimit(), it does so
/// while the work needs more resources than preempted tasks will release; for long or deferrable
/// work of another team, only if that team's share does not become the higher one.
void
PreemptDeferrable(Scheduler& aScheduler,
                  const SchedulingPolicy& aPolicy,
                  Time aNow,
                  ScheduleOutcome& aOutcome);

/// Requests a stop of preempted tasks that still hold resources after the grace period, and repeats
/// the request after each further grace period.
void
StopOverduePreemptions(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome);

} // namespace by
