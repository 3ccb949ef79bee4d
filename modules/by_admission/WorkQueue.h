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

/// How many lanes there are.
inline constexpr std::size_t kLanes = 4;

/// The lanes of one place, in the order of Lane.
using LaneQueues = std::array<LaneQueue, kLanes>;

/// All work that waits.
struct WorkQueue
{
  /// All rows.
  absl::flat_hash_map<TaskId, QueuedWork> mRows;
  /// The lanes of each rack that tasks are bound to; those of tasks that may run anywhere stand
  /// under the empty name.
  absl::btree_map<RackId, LaneQueues> mLanesByRack;
  /// All tasks by the time at which they must have started.
  absl::btree_set<std::pair<Time, TaskId>> mByStartBy;
  /// Tasks in each lane, over all places.
  std::array<std::int64_t, kLanes> mWaiting{};
  /// Tasks of each team, over all places.
  absl::flat_hash_map<TeamId, std::int64_t> mByTeam;
  /// The place of the next task in the order of arrival.
  std::uint64_t mNextSequence{ 1 };
};

} // namespace by
