#pragma once

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_admission/RunEstimateTable.h"
#include "by_admission/WorkQueue.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_placement/VmTable.h"
#include "by_schema/LaneRow.h"
#include "by_schema/QueuedGang.h"
#include "by_schema/Resources.h"
#include "by_schema/RunningTask.h"
#include "by_sharing/TeamTable.h"

namespace by {

/// The scheduling state of one node.
struct Scheduler
{
  /// Tasks ordered by a point in time.
  using TasksByTime = absl::btree_set<std::pair<Time, TaskId>>;

  /// The VMs that this node may place tasks on.
  VmTable mVms;
  /// Shares, quotas and usage of the teams.
  TeamTable mTeams;
  /// Run times, failure rates and usage observed for each kind of work.
  RunEstimateTable mRunEstimates;
  /// Queued tasks. Tasks of queued gangs are in mGangs instead.
  WorkQueue mQueue;
  /// Tasks that hold resources on a VM.
  absl::flat_hash_map<TaskId, RunningTask> mRunning;
  /// The tasks that hold resources on each VM.
  absl::flat_hash_map<VmId, absl::btree_set<TaskId>> mTasksByVm;
  /// Running tasks, their resources and their mean run time for each lane.
  std::array<LaneRow, kLanes> mLanes;
  /// Each team's running deferrable tasks that have not been preempted, by start time. They use
  /// borrowed capacity.
  absl::flat_hash_map<TeamId, TasksByTime> mBorrowed;
  /// The resources that preempted tasks still hold.
  Resources mPreemptedResources;
  /// Preempted tasks that still hold resources, by the time of the last preemption request.
  TasksByTime mPreempted;
  /// Running short tasks, by the time at which they become stragglers.
  TasksByTime mStragglerAt;
  /// Teams whose scheduling key is out of date.
  absl::btree_set<TeamId> mStaleTeams;
  /// Queued gangs by arrival sequence number.
  absl::btree_map<std::uint64_t, QueuedGang> mGangs;
  /// The gang of each task in mGangs.
  absl::flat_hash_map<TaskId, std::uint64_t> mGangOf;
  /// Sequence number of the gang that is reserving resources, or zero. Only one gang reserves at a
  /// time, so that two gangs can't wait for each other's resources.
  std::uint64_t mReservingGang{ 0 };
  /// The VMs reserved for that gang.
  std::vector<VmId> mReservedVms;
  /// The rack of the most recently reserved VMs. The next search starts after it.
  RackId mLastReservedRack;
  /// Racks on which capacity became free since the last dispatch.
  absl::btree_set<RackId> mFreedRacks;
};

} // namespace by
