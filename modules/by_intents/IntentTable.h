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

/// All intents as the log tells them. The sets and loads are indexes over mIntents, so that the
/// cost of a step follows the work that is due and not the number of tasks.
struct IntentTable
{
  /// Plans and intents.
  absl::flat_hash_map<IntentId, FoldedIntent> mIntents;
  /// What each team's intents take.
  absl::flat_hash_map<TeamId, TeamUsage> mTeams;
  /// What intents have put on each rack.
  absl::flat_hash_map<RackId, RackLoad> mRacks;
  /// Urgent intents with tasks to assign or a round to decide.
  absl::btree_set<IntentId> mOpenUrgent;
  /// Other intents with tasks to assign or a round to decide.
  absl::btree_set<IntentId> mOpen;
  /// Plans by the time at which they can be forgotten.
  absl::btree_set<std::pair<Time, IntentId>> mPlans;
  /// Ended intents by the time at which they ended.
  absl::btree_set<std::pair<Time, IntentId>> mEnded;
};

} // namespace by
