#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// A gang that has not reserved all its resources after this time releases them and moves to the
/// end of the gang queue.
inline constexpr Time kGangReservationTimeout = Time::FromSeconds(60);

/// Chooses the gang whose team has the lowest scheduling key, unless queued long work has a lower
/// one. Places the gang if all its tasks fit at once; otherwise reserves resources for it as they
/// become free, and places its tasks when all of them have resources. Only one gang reserves at a
/// time, for at most kGangReservationTimeout.
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
