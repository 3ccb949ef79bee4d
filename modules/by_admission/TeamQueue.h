#pragma once

#include <cstdint>

#include "absl/container/btree_map.h"

#include "by_admission/QueuePosition.h"
#include "by_core/Identifier.h"

namespace by {

/// The queued tasks of one team in one lane, in order of arrival.
struct TeamQueue
{
  /// The tasks by arrival sequence number.
  absl::btree_map<std::uint64_t, TaskId> mTasks;
  /// The team's current position in the lane.
  QueuePosition mPosition;
};

} // namespace by
