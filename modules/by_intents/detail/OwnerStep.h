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

/// The working state of one step of a rack owner.
struct OwnerStep
{
  RackTasks& mTasks;
  const IntentTable& mTable;
  const RackTasksContext& mContext;
  Time mNow;
  /// The actions that the step requests.
  RackTaskActions mActions;
  /// Reports of the step by rack.
  absl::btree_map<RackId, std::vector<TaskReport>> mReports;
};

/// Tracks a live assignment that is in the table and not tracked yet, once the rack is reconciled.
void
TrackAssignment(OwnerStep& aStep, const OwnedRack& aRack, const TaskKey& aKey);

/// Once per epoch, when the rack is reconciled, reports those tasks as lost that run according to
/// the log and that no server listed in its inventory.
void
ReportMissingTasks(OwnerStep& aStep, const OwnedRack& aRack);

/// Performs the next action for one task.
void
AdvanceTask(OwnerStep& aStep, const TaskKey& aKey);

} // namespace by::detail
