#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_intents/EndedTask.h"
#include "by_intents/IntentTaskStart.h"
#include "by_intents/IntentTaskStop.h"
#include "by_schema/TaskReports.h"
#include "by_schema/WorkItem.h"

namespace by {

/// The actions that a step of a rack owner requests. Cancels and finishes are applied before
/// offers, because one step may cancel a task's old generation and offer its next one.
struct RackTaskActions
{
  /// Tasks to place, each on its own rack only. The placement is reported by ObservePlaced. The
  /// capacity stays reserved until the task appears in mCancels or mFinished.
  std::vector<WorkItem> mOffers;
  /// Starts to send to backend servers.
  std::vector<IntentTaskStart> mStarts;
  /// Stops to send to backend servers.
  std::vector<IntentTaskStop> mStops;
  /// Task reports to append to the log.
  std::vector<TaskReports> mReports;
  /// Offers and reservations that are cancelled without a start.
  std::vector<TaskId> mCancels;
  /// Tasks with a reservation that ended, were refused or are lost; their capacity is free again.
  std::vector<TaskId> mFinished;
  /// Ends recorded in the log, to acknowledge with the VM's next lease request.
  std::vector<EndedTask> mAcknowledged;
  /// VMs whose next lease request should ask for the inventory.
  std::vector<VmId> mInventoryRequests;
};

} // namespace by
