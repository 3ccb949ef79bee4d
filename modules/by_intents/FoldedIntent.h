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

/// One intent inside an IntentTable: its plan, its progress, and one row for each task.
struct FoldedIntent
{
  /// The plan it came from; its payload is dropped when the intent has ended.
  by::Plan mPlan;
  /// How it gets on.
  IntentProgress mProgress;
  /// Its tasks by index; empty until it is confirmed.
  std::vector<IntentTaskStatus> mTasks;
  /// Tasks that want an assignment, by the time from which they may have one.
  absl::btree_set<std::pair<Time, std::int64_t>> mUnassigned;
  /// Live tasks by rack.
  absl::flat_hash_map<RackId, std::int64_t> mLiveByRack;
  /// Tasks whose last generation is live.
  std::int64_t mLive{ 0 };
  /// Live tasks whose room is reserved.
  std::int64_t mReserved{ 0 };
  /// Tasks that run.
  std::int64_t mRunning{ 0 };
  /// Tasks that ended well.
  std::int64_t mSucceeded{ 0 };
  /// Records of assignments that were folded, valid or not.
  std::uint64_t mAssignmentRecords{ 0 };
};

} // namespace by
