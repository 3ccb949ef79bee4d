#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// Preempts deferrable tasks while queued urgent or short work needs more resources than preempted
/// tasks will release, and for queued work of teams below their share while another team is above
/// its own.
void
PreemptDeferrable(Scheduler& aScheduler,
                  const SchedulingPolicy& aPolicy,
                  Time aNow,
                  ScheduleOutcome& aOutcome);

/// Requests a stop of preempted tasks that still hold resources after the grace period.
void
StopOverduePreemptions(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome);

} // namespace by
