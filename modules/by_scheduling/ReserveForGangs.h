#pragma once

#include "by_core/Time.h"
#include "by_scheduling/ScheduleOutcome.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"

namespace by {

/// A gang gives up what it has gathered after this time, and goes behind the others.
inline constexpr Time kGangReservationTimeout = Time::FromSeconds(60);

/// Starts gangs that fit whole. The gang whose team is furthest below its share gathers room as it
/// comes free, one gang at a time and for a bounded time; its tasks are placed when all have room.
/// @returns true: other work goes on with what is left.
bool
ReserveForGangs(Scheduler& aScheduler,
                const SchedulingPolicy& aPolicy,
                Time aNow,
                ScheduleOutcome& aOutcome);

/// Starts the first gang when it fits whole; until then nothing that came later is placed. The
/// baseline that gathering is measured against.
/// @returns whether later work may be placed.
bool
BlockOnFirstGang(Scheduler& aScheduler,
                 const SchedulingPolicy& aPolicy,
                 Time aNow,
                 ScheduleOutcome& aOutcome);

} // namespace by
