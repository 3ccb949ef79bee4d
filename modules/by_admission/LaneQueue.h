#pragma once

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_admission/QueuePosition.h"
#include "by_admission/TeamQueue.h"
#include "by_core/Identifier.h"

namespace by {

/// One lane: the teams with work in it, in the order of their turns.
struct LaneQueue
{
  /// Each team's tasks.
  absl::flat_hash_map<TeamId, TeamQueue> mTeams;
  /// The turns of all teams.
  absl::btree_set<QueuePosition> mPositions;
  /// Tasks of all teams.
  std::int64_t mCount{ 0 };
};

} // namespace by
