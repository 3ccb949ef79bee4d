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

/// The live assignments on the racks that this node owns.
struct RackTasks
{
  /// Every live assignment that this node tracks.
  absl::flat_hash_map<TaskKey, TrackedTask> mTasks;
  /// Tasks that a step has to process: all except those that run and whose running state is in the
  /// log.
  absl::btree_set<TaskKey> mActive;
  /// Tracked tasks by VM.
  absl::flat_hash_map<VmId, absl::flat_hash_set<TaskKey>> mByVm;
  /// Epochs of the owned racks whose tasks are tracked.
  absl::flat_hash_map<RackId, std::uint64_t> mOwned;
  /// Epochs under which the running tasks of a rack were compared with the inventories.
  absl::flat_hash_map<RackId, std::uint64_t> mCheckedEpochs;
  /// Ends of older generations that servers still list; the next step acknowledges them.
  std::vector<EndedTask> mStaleEnds;
  /// Offers and reservations of tasks that were found to run elsewhere; the next step cancels them.
  std::vector<TaskId> mSupersededOffers;
};

} // namespace by
