#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/IntentProgress.h"
#include "by_schema/IntentTaskStatus.h"
#include "by_schema/Plan.h"

namespace by {

/// One intent in an IntentTable: its plan, its progress and one row per task.
struct FoldedIntent
{
  /// The plan that the intent was created from. Its payload is removed once the intent has ended.
  by::Plan mPlan;
  /// State, gang round and failures of the intent.
  IntentProgress mProgress;
  /// Its tasks by index; empty until the intent is confirmed.
  std::vector<IntentTaskStatus> mTasks;
  /// Indexes of the tasks that need an assignment, ordered by the earliest time of the assignment.
  absl::btree_set<std::pair<Time, std::int64_t>> mUnassigned;
  /// Number of live tasks per rack.
  absl::flat_hash_map<RackId, std::int64_t> mLiveByRack;
  /// Number of tasks whose latest generation is live.
  std::int64_t mLive{ 0 };
  /// Number of live tasks with reserved capacity.
  std::int64_t mReserved{ 0 };
  /// Number of running tasks.
  std::int64_t mRunning{ 0 };
  /// Number of tasks that ended successfully.
  std::int64_t mSucceeded{ 0 };
  /// Number of assignment records folded for the intent, valid or not.
  std::uint64_t mAssignmentRecords{ 0 };
};

} // namespace by
