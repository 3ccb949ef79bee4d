#pragma once

#include <cstdint>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/Lane.h"

namespace by {

/// Places what it can from one lane of one place, in the order of the teams' turns. A first task
/// that finds no room lets the next team have its turn; the number of such looks is bounded.
/// @param aMaxKey teams whose turn is ordered behind this get none in this pass.
void
ScheduleLane(Scheduler& aScheduler,
             const SchedulingPolicy& aPolicy,
             const RackId& aRack,
             Lane aLane,
             std::int64_t aMaxKey,
             Time aNow,
             ScheduleOutcome& aOutcome);

} // namespace by
