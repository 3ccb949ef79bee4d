#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// Runs one scheduling pass; call it after tasks end and on every tick. It ends expired
/// quarantines, refuses work that can no longer start in time, places queued work if capacity
/// became free on any rack, and preempts deferrable tasks.
/// @returns the tasks that were placed, refused or preempted.
ScheduleOutcome
Dispatch(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow);

} // namespace by
