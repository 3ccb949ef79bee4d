#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// Asks deferrable tasks to give way while urgent or short work waits for more room than is on its
/// way back, and for teams below their share that wait while another team is above its own.
void
PreemptDeferrable(Scheduler& aScheduler,
                  const SchedulingPolicy& aPolicy,
                  Time aNow,
                  ScheduleOutcome& aOutcome);

/// Stops tasks that were asked to give way and still hold their room after the grace time.
void
StopOverduePreemptions(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome);

} // namespace by
