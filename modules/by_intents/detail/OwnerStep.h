#pragma once

#include <vector>

#include "absl/container/btree_map.h"

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_intents/OwnedRack.h"
#include "by_intents/RackTaskActions.h"
#include "by_intents/RackTasks.h"
#include "by_intents/RackTasksContext.h"

namespace by::detail {

/// What one step of a rack owner has at hand.
struct OwnerStep
{
  RackTasks& mTasks;
  const IntentTable& mTable;
  const RackTasksContext& mContext;
  Time mNow;
  /// What the step wants done.
  RackTaskActions mActions;
  /// Reports by rack.
  absl::btree_map<RackId, std::vector<TaskReport>> mReports;
};

/// Takes up a live assignment that the table has and this owner has not, once the rack is settled.
void
TrackAssignment(OwnerStep& aStep, const OwnedRack& aRack, const TaskKey& aKey);

/// Reports tasks of a settled rack lost that the log has as running and no server runs.
void
ReportMissingTasks(OwnerStep& aStep, const OwnedRack& aRack);

/// Does what one task needs next.
void
AdvanceTask(OwnerStep& aStep, const TaskKey& aKey);

} // namespace by::detail
