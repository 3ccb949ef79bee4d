#pragma once

#include <optional>
#include <vector>

#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/PlacedWork.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Places all tasks of a gang. If any of them can't be placed, the scheduler is left unchanged.
/// @returns the placed tasks, or nothing if the gang does not fit.
std::optional<std::vector<PlacedWork>>
ReserveGang(Scheduler& aScheduler,
            const SchedulingPolicy& aPolicy,
            const std::vector<WorkItem>& aTasks,
            Time aNow);

} // namespace by
