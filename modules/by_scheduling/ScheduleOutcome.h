#pragma once

#include <vector>

#include "by_schema/PlacedWork.h"
#include "by_schema/Preemption.h"
#include "by_schema/RefusedWork.h"

namespace by {

/// The result of a scheduling decision, to be carried out by the caller.
struct ScheduleOutcome
{
  /// Tasks that were assigned to a VM. Their resources are committed.
  std::vector<PlacedWork> mPlaced;
  /// Tasks that will not start, each with the reason.
  std::vector<RefusedWork> mRefused;
  /// Running tasks to checkpoint or stop. They keep their resources until they end.
  std::vector<Preemption> mPreemptions;
};

} // namespace by
