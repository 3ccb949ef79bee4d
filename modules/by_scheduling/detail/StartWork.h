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

/// Demands for which no VM was found in this scan. A demand that is at least as large in every kind
/// of resource is not searched for.
using UnplaceableDemands = std::vector<Resources>;

/// @returns the lane that the policy chooses for a task.
Lane
LaneOf(const Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem);

/// Places a task if its team's quota, the capacity kept free for short and urgent work, and the
/// free capacity of a VM allow it.
/// @param aUnplaceable demands known not to fit; a failed search adds to it.
/// @returns the placed task, or nothing.
std::optional<PlacedWork>
StartWork(Scheduler& aScheduler,
          const SchedulingPolicy& aPolicy,
          const WorkItem& aItem,
          Lane aLane,
          Time aNow,
          UnplaceableDemands& aUnplaceable);

/// @returns the time by which the task must have started; never if it has no such limit.
Time
StartByOf(const WorkItem& aItem);

/// Recomputes the positions of all teams in mStaleTeams, in the lanes that are not bound to a rack.
void
RefreshSchedulingOrder(Scheduler& aScheduler, const SchedulingPolicy& aPolicy);

/// @returns the current scheduling key of a team, by the policy.
std::int64_t
SchedulingKeyOf(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const TeamId& aTeam);

} // namespace by
