#pragma once

#include <cstdint>

#include "absl/container/btree_map.h"

#include "by_admission/QueuePosition.h"
#include "by_core/Identifier.h"

namespace by {

/// One team's tasks in one lane, in the order of arrival.
struct TeamQueue
{
  /// The tasks by their place in the order of arrival.
  absl::btree_map<std::uint64_t, TaskId> mTasks;
  /// The team's turn as it stands in the lane.
  QueuePosition mPosition;
};

} // namespace by
