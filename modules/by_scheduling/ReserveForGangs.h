#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// A gang that has not reserved all its resources after this time releases them and moves to the
/// end of the gang queue.
inline constexpr Time kGangReservationTimeout = Time::FromSeconds(60);

/// Places gangs whose tasks all fit at once. Otherwise reserves resources, as they become free, for
/// the gang whose team is furthest below its share; its tasks are placed when all of them have
/// resources. Only one gang reserves at a time, for at most kGangReservationTimeout.
/// @returns true: other work may use the remaining capacity.
bool
ReserveForGangs(Scheduler& aScheduler,
                const SchedulingPolicy& aPolicy,
                Time aNow,
                ScheduleOutcome& aOutcome);

/// Places the first gang once all its tasks fit; until then, no work that arrived later is placed.
/// This is the baseline for ReserveForGangs().
/// @returns whether later work may be placed.
bool
BlockOnFirstGang(Scheduler& aScheduler,
                 const SchedulingPolicy& aPolicy,
                 Time aNow,
                 ScheduleOutcome& aOutcome);

} // namespace by
