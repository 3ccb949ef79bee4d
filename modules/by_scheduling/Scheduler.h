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

/// All that one node knows for its decisions about work.
struct Scheduler
{
  /// Tasks in the order of a point in time.
  using TasksByTime = absl::btree_set<std::pair<Time, TaskId>>;

  /// The VMs it may place on.
  VmTable mVms;
  /// The teams.
  TeamTable mTeams;
  /// What was learned of run times.
  RunEstimateTable mRunEstimates;
  /// Work that waits.
  WorkQueue mQueue;
  /// Tasks that hold room.
  absl::flat_hash_map<TaskId, RunningTask> mRunning;
  /// The tasks on each VM.
  absl::flat_hash_map<VmId, absl::btree_set<TaskId>> mTasksByVm;
  /// What runs from each lane.
  std::array<LaneRow, kLanes> mLanes;
  /// Each team's running deferrable tasks that were not asked to give way, by their start.
  absl::flat_hash_map<TeamId, TasksByTime> mBorrowed;
  /// The room of tasks that were asked to give way and still hold it.
  Resources mPreemptedResources;
  /// Those tasks, by when they were asked.
  TasksByTime mPreempted;
  /// Running short tasks, by when they count as stragglers.
  TasksByTime mStragglerAt;
  /// Teams whose turns have to be worked out anew.
  absl::btree_set<TeamId> mStaleTeams;
  /// Gangs that wait, by their place in the order of arrival.
  absl::btree_map<std::uint64_t, QueuedGang> mGangs;
  /// The gang that each of their tasks belongs to.
  absl::flat_hash_map<TaskId, std::uint64_t> mGangOf;
  /// The gang that is being gathered; zero for none. One at a time, so that no two wait for each
  /// other's room.
  std::uint64_t mReservingGang{ 0 };
  /// The VMs whose room is kept for it.
  std::vector<VmId> mReservedVms;
  /// The rack from which the last gang's VMs were taken; the next search starts behind it.
  RackId mLastReservedRack;
  /// Racks on which room came free since the last dispatch.
  absl::btree_set<RackId> mFreedRacks;
};

} // namespace by
