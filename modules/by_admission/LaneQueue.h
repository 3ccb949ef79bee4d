#pragma once

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_admission/QueuePosition.h"
#include "by_admission/TeamQueue.h"
#include "by_core/Identifier.h"

namespace by {

/// One lane of the queue, with its teams in scheduling order.
struct LaneQueue
{
  /// The queued tasks of each team.
  absl::flat_hash_map<TeamId, TeamQueue> mTeams;
  /// The positions of all teams, in scheduling order.
  absl::btree_set<QueuePosition> mPositions;
  /// Number of queued tasks of all teams.
  std::int64_t mCount{ 0 };
};

} // namespace by
