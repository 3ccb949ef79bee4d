#pragma once

#include <cstdint>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/Lane.h"

namespace by {

/// Places queued tasks from one lane, in the scheduling order of the teams. If the first task of a
/// team can't be placed, the scan continues with the next team; the number of tasks and failed
/// searches in a scan is limited by the policy.
/// @param aRack schedules the tasks that are bound to this rack; empty for tasks that may run on
/// any rack.
/// @param aMaxKey teams with a higher scheduling key are left out.
void
ScheduleLane(Scheduler& aScheduler,
             const SchedulingPolicy& aPolicy,
             const RackId& aRack,
             Lane aLane,
             std::int64_t aMaxKey,
             Time aNow,
             ScheduleOutcome& aOutcome);

} // namespace by
