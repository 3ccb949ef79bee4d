#pragma once

#include <optional>
#include <vector>

#include "by_core/Time.h"
#include "by_scheduling/Scheduler.h"
#include "by_scheduling/SchedulingPolicy.h"
#include "by_schema/Lane.h"
#include "by_schema/PlacedWork.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Sizes that were found not to fit in this pass; a larger one need not be looked for.
using UnplaceableDemands = std::vector<Resources>;

/// @returns the lane that the policy gives a task.
Lane
LaneOf(const Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem);

/// Places a task if quota, the room kept for short work and a VM allow it.
/// @param aUnplaceable sizes without room; a search that finds none adds to it.
std::optional<PlacedWork>
StartWork(Scheduler& aScheduler,
          const SchedulingPolicy& aPolicy,
          const WorkItem& aItem,
          Lane aLane,
          Time aNow,
          UnplaceableDemands& aUnplaceable);

/// @returns the time by which the task must have started; never where it names none.
Time
StartByOf(const WorkItem& aItem);

/// Works the turns of all teams out anew whose holdings changed.
void
RefreshSchedulingOrder(Scheduler& aScheduler, const SchedulingPolicy& aPolicy);

/// @returns what the turn of a team is ordered by now.
std::int64_t
SchedulingKeyOf(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const TeamId& aTeam);

} // namespace by
