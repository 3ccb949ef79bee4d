#pragma once

#include "absl/container/btree_set.h"

#include "by_intents/TaskKey.h"
#include "by_schema/Resources.h"

namespace by {

/// The live tasks of intents on one rack.
struct RackLoad
{
  /// The resources that the live tasks request.
  Resources mCommitted;
  /// Live tasks that require an action of the rack's owner: reserve, start or stop.
  absl::btree_set<TaskKey> mPending;
  /// Live tasks that run and need not stop.
  absl::btree_set<TaskKey> mRunning;
};

} // namespace by
