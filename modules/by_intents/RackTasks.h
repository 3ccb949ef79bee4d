#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "by_core/Identifier.h"
#include "by_intents/EndedTask.h"
#include "by_intents/TaskKey.h"
#include "by_intents/TrackedTask.h"

namespace by {

/// The live assignments of the racks that this node owns.
struct RackTasks
{
  /// Every live assignment that this node has taken up.
  absl::flat_hash_map<TaskKey, TrackedTask> mTasks;
  /// Those that a step has to look at: all but the ones that run and are reported.
  absl::btree_set<TaskKey> mActive;
  /// Tasks by VM.
  absl::flat_hash_map<VmId, absl::flat_hash_set<TaskKey>> mByVm;
  /// Racks whose tasks were taken up, by the epoch of that.
  absl::flat_hash_map<RackId, std::uint64_t> mOwned;
  /// Racks whose running tasks were compared with the inventories, by the epoch of that.
  absl::flat_hash_map<RackId, std::uint64_t> mCheckedEpochs;
  /// Ends of older generations that servers still list, to be acknowledged by the next step.
  std::vector<EndedTask> mStaleEnds;
  /// Offers and reservations of tasks that were found to run elsewhere, to be cancelled by the next
  /// step.
  std::vector<TaskId> mSupersededOffers;
};

} // namespace by
