#pragma once

#include <vector>

#include "by_schema/PlacedWork.h"
#include "by_schema/Preemption.h"
#include "by_schema/RefusedWork.h"

namespace by {

/// What a decision led to.
struct ScheduleOutcome
{
  /// Tasks that were given a VM; their room is committed.
  std::vector<PlacedWork> mPlaced;
  /// Tasks that will not start.
  std::vector<RefusedWork> mRefused;
  /// Running tasks that have to give way; they hold their room until they end.
  std::vector<Preemption> mPreemptions;
};

} // namespace by
