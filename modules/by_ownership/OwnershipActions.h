#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_log_state/LogRecordBody.h"
#include "by_schema/AdoptedTask.h"
#include "by_schema/SendLease.h"
#include "by_schema/VmDescription.h"

namespace by {

/// Actions that a decision on ownership requests, and changes that the rest of the node must apply.
struct OwnershipActions
{
  /// Claims and releases of racks to append to the log.
  std::vector<LogRecordBody> mRecords;
  /// Lease requests to send to backend servers.
  std::vector<SendLease> mLeases;
  /// VMs that this node may place on from now on. mInventory lists all tasks that run there.
  std::vector<VmDescription> mGained;
  /// VMs that this node may no longer place on. Their tasks may continue under another owner.
  std::vector<VmId> mLost;
  /// VMs whose earlier tasks have certainly ended: the server was replaced, or its lease has
  /// expired and the log shows that no other node adopted it. Reported after mLost or together with
  /// it.
  std::vector<VmId> mTasksLost;
  /// All tasks on the VMs in mGained.
  std::vector<AdoptedTask> mInventory;
  /// Tasks on previously gained VMs that the backend server reports as ended.
  std::vector<AdoptedTask> mEnded;
  /// Previously gained VMs whose description has changed, for example to leaving, and all VMs that
  /// the VM list has dropped.
  std::vector<VmDescription> mChanged;
};

} // namespace by
