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

/// The complete state of a node, which only the control thread accesses.
struct NodeState
{
  /// The settings that the process started with.
  NodeSettings mSettings;
  /// The incarnation of this process.
  std::uint64_t mIncarnation{ 0 };

  /// The state folded from the log.
  LogState mLog;
  /// Snapshot pieces, while the node starts.
  SnapshotAssembly mSnapshotAssembly;
  /// Whether the node has once read the log to its end, or adopted the state of a peer.
  bool mCaughtUp{ false };
  /// Whether the last read of the log failed.
  bool mLogFailed{ false };
  /// When the log was last read; zero before the first read.
  Time mLogReadAt{};
  /// When the request of that read was sent.
  Time mLogReadSentAt{};
  /// Since when reading the log has failed; zero if the last read succeeded or none was made.
  Time mLogFailedSince{};
  /// Whether the VM list was read.
  bool mVmListRead{ false };
  /// Records to append to the log.
  LogWriter mWriter;
  /// When this node last queued a snapshot for the log.
  Time mLastSnapshot{};

  /// The other nodes and the VMs.
  Membership mMembership;
  /// The racks and leases that this node holds.
  Ownership mOwnership;
  /// Free capacity, queues and team shares.
  Scheduler mScheduler;
  /// The policy selected by the configuration.
  SchedulingPolicy mPolicy;
  /// The version of the configuration that is active on this node.
  std::uint64_t mConfigVersion{ 0 };
  /// This node's share of the request quotas, in thousandths.
  std::int64_t mQuotaShare{ 0 };
  /// The requests of callers.
  RequestBook mRequests;
  /// This node's proposals for intents.
  IntentController mController;
  /// Tasks of intents on this node's racks.
  RackTasks mRackTasks;
  /// The backend servers in the VM list, for intents.
  std::vector<VmDescription> mBackendServers;
  /// The version of the VM list that mBackendServers was built from.
  std::uint64_t mBackendServersVersion{ 0 };
  /// Ended tasks to acknowledge with each VM's next lease request.
  absl::btree_map<VmId, absl::btree_set<std::string>> mAcknowledge;
  /// VMs with an unanswered start, by the time after which the start can't be accepted any more and
  /// the inventory is read again.
  absl::btree_map<VmId, Time> mInventoryRefreshAt;
  /// VMs whose next lease request asks for the inventory.
  absl::btree_set<VmId> mInventoryRequests;

  /// Operator calls that wait for their record to appear in the log.
  std::vector<PendingCall> mPendingCalls;
  /// Number of heartbeats sent by this process.
  std::uint64_t mHeartbeats{ 0 };
  /// When the next heartbeat is due.
  Time mNextHeartbeat{};
  /// When ownership and intents are next processed.
  Time mNextControl{};
  /// The readiness last published with SetReady.
  bool mReady{ false };
  /// Whether the node is draining.
  bool mDraining{ false };
  /// When the drain started.
  Time mDrainSince{};
  /// Whether the end of the process was requested.
  bool mExited{ false };
};

} // namespace by
