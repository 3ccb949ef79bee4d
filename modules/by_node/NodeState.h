#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/by_intents.h"
#include "by_log_state/by_log_state.h"
#include "by_membership/by_membership.h"
#include "by_node/LogWriter.h"
#include "by_ownership/by_ownership.h"
#include "by_requests/by_requests.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/PendingCall.h"

namespace by {

/// All that one node knows. Only the control thread holds it.
struct NodeState
{
  /// The settings.
  NodeSettings mSettings;
  /// This process.
  std::uint64_t mIncarnation{ 0 };

  /// What is folded from the log.
  LogState mLog;
  /// Pieces of a snapshot, while the node starts.
  SnapshotAssembly mSnapshotAssembly;
  /// Whether the node has read the log up to its end once.
  bool mCaughtUp{ false };
  /// Whether the last read of the log failed.
  bool mLogFailed{ false };
  /// When the log was last read; zero before.
  Time mLogReadAt{};
  /// When that read had been sent.
  Time mLogReadSentAt{};
  /// Since when the log could not be read while the node starts; zero for never.
  Time mLogFailedSince{};
  /// Whether the list of VMs was read.
  bool mVmListRead{ false };
  /// Records on their way to the log.
  LogWriter mWriter;
  /// When this node last appended a snapshot.
  Time mLastSnapshot{};

  /// The other nodes and the VMs.
  Membership mMembership;
  /// Racks and leases.
  Ownership mOwnership;
  /// Room, queues and shares.
  Scheduler mScheduler;
  /// The policy that the configuration names.
  SchedulingPolicy mPolicy;
  /// The version of the configuration that is in force here.
  std::uint64_t mConfigVersion{ 0 };
  /// This node's part of the request quotas, in thousandths.
  std::int64_t mQuotaShare{ 0 };
  /// Callers' requests.
  RequestBook mRequests;
  /// What was proposed for intents.
  IntentController mController;
  /// Intents' tasks on this node's racks.
  RackTasks mRackTasks;
  /// Backend servers of the list, for intents.
  std::vector<VmDescription> mBackendServers;
  /// The version of the list that mBackendServers was taken from.
  std::uint64_t mBackendServersVersion{ 0 };
  /// Ended tasks to acknowledge with each VM's next lease.
  absl::btree_map<VmId, absl::btree_set<std::string>> mAcknowledge;
  /// VMs where a start stayed unanswered, by when it can't be taken any more and their tasks are
  /// read again.
  absl::btree_map<VmId, Time> mInventoryRefreshAt;
  /// VMs whose next lease asks for the inventory.
  absl::btree_set<VmId> mInventoryRequests;

  /// Operators' calls that wait for the log.
  std::vector<PendingCall> mPendingCalls;
  /// Counts this process's heartbeats.
  std::uint64_t mHeartbeats{ 0 };
  /// When the next heartbeat is due.
  Time mNextHeartbeat{};
  /// When ownership and intents are looked at next.
  Time mNextControl{};
  /// Whether the edges were told that the node is ready.
  bool mReady{ false };
  /// Whether the node is stopping.
  bool mDraining{ false };
  /// When the stop began.
  Time mDrainSince{};
  /// Whether the process was told to end.
  bool mExited{ false };
};

} // namespace by
