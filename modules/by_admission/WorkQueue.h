#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_admission/LaneQueue.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/QueuedWork.h"

namespace by {

/// Number of lanes.
inline constexpr std::size_t kLanes = 4;

/// The lanes of one rack, or of tasks that may run on any rack, in the order of Lane.
using LaneQueues = std::array<LaneQueue, kLanes>;

/// All queued tasks.
struct WorkQueue
{
  /// The queued tasks with their lanes.
  absl::flat_hash_map<TaskId, QueuedWork> mRows;
  /// The lanes of tasks that are bound to each rack. Tasks that may run on any rack are stored
  /// under the empty rack id.
  absl::btree_map<RackId, LaneQueues> mLanesByRack;
  /// Queued tasks by the time at which they must have started; a queued gang has one entry, for its
  /// first task.
  absl::btree_set<std::pair<Time, TaskId>> mByStartBy;
  /// Number of queued tasks in each lane, for all racks.
  std::array<std::int64_t, kLanes> mWaiting{};
  /// Number of queued tasks of each team, for all racks.
  absl::flat_hash_map<TeamId, std::int64_t> mByTeam;
  /// The arrival sequence number of the next task.
  std::uint64_t mNextSequence{ 1 };
};

} // namespace by
