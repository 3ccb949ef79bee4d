#pragma once

#include <utility>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/FoldedIntent.h"
#include "by_intents/RackLoad.h"
#include "by_intents/TeamUsage.h"

namespace by {

/// All intents folded from the log. The sets and loads are indexes over mIntents, so that the cost
/// of a step depends on the work that is due and not on the number of tasks.
struct IntentTable
{
  /// Plans and intents by id.
  absl::flat_hash_map<IntentId, FoldedIntent> mIntents;
  /// Resource usage and versions of each team's intents.
  absl::flat_hash_map<TeamId, TeamUsage> mTeams;
  /// The tasks and resources that intents have committed on each rack.
  absl::flat_hash_map<RackId, RackLoad> mRacks;
  /// Urgent intents with tasks to assign or a gang round to decide.
  absl::btree_set<IntentId> mOpenUrgent;
  /// Other intents with tasks to assign or a gang round to decide.
  absl::btree_set<IntentId> mOpen;
  /// Unconfirmed plans, ordered by the time at which they are removed.
  absl::btree_set<std::pair<Time, IntentId>> mPlans;
  /// Ended intents, ordered by the time at which they ended.
  absl::btree_set<std::pair<Time, IntentId>> mEnded;
};

} // namespace by
