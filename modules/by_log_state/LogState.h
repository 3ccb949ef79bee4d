#pragma once

#include <cstdint>

#include "absl/container/btree_map.h"

#include "by_claims/ClaimsFold.h"
#include "by_config/ConfigFold.h"
#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_log_state/FoldLimits.h"
#include "by_log_state/RackOwners.h"
#include "by_log_state/RecentRecords.h"
#include "by_log_state/SnapshotProgress.h"

namespace by {

/// The state that every node folds from the log; it is the same on all nodes at the same offset.
struct LogState
{
  /// The offset of the next entry to apply.
  std::uint64_t mNextOffset{ 0 };
  /// The latest log time of an applied entry.
  Time mLogTime{};
  /// How long rows are kept.
  FoldLimits mLimits;
  /// The owner of each rack.
  RackOwners mOwners;
  /// The active configuration.
  ConfigFold mConfig;
  /// Claims for the runs of non-idempotent requests.
  ClaimsFold mClaims;
  /// Plans and intents with their tasks.
  IntentTable mIntents;
  /// Ids of the latest records.
  RecentRecords mRecent;
  /// The newest complete snapshot in the log, and the snapshots being written.
  SnapshotProgress mSnapshots;
};

} // namespace by
