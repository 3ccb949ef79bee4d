#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_intents/EndedTask.h"
#include "by_intents/IntentTaskStart.h"
#include "by_intents/IntentTaskStop.h"
#include "by_schema/TaskReports.h"
#include "by_schema/WorkItem.h"

namespace by {

/// What the owner's side of intents wants done. Cancels and finishes come before offers: one step
/// may give up a task's old generation and offer its next one.
struct RackTaskActions
{
  /// Tasks that want room, each on its rack only. The placement is told by ObservePlaced; the room
  /// stays committed until the task stands in mCancels or mFinished.
  std::vector<WorkItem> mOffers;
  /// Starts to send to backend servers.
  std::vector<IntentTaskStart> mStarts;
  /// Stops to send to backend servers.
  std::vector<IntentTaskStop> mStops;
  /// Records to append.
  std::vector<TaskReports> mReports;
  /// Offers and reservations that are given up without a start.
  std::vector<TaskId> mCancels;
  /// Tasks that had room and have ended, were refused or are lost: their room is free again.
  std::vector<TaskId> mFinished;
  /// Ends that the log holds, to be acknowledged with the VM's next lease request.
  std::vector<EndedTask> mAcknowledged;
  /// VMs whose next lease request should ask for the inventory.
  std::vector<VmId> mInventoryRequests;
};

} // namespace by
