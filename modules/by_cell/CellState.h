#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_cell/AdviceProxyRow.h"
#include "by_cell/AdviceShare.h"
#include "by_cell/AppendBatch.h"
#include "by_cell/JobRow.h"
#include "by_cell/OutcomeRow.h"
#include "by_cell/ReadyKey.h"
#include "by_cell/TeamRateRow.h"
#include "by_cell/UnknownJobQuery.h"
#include "by_cell/WaveRow.h"
#include "by_cell/WorkerCrash.h"
#include "by_cell/WorkerRow.h"
#include "by_core/Identifier.h"
#include "by_schema/CellSettings.h"
#include "by_schema/ClusterConfig.h"
#include "by_schema/JobTaskKey.h"
#include "by_sharing/TeamTable.h"

namespace by {

/// The complete state of a cell's owner.
struct CellState
{
  CellSettings mSettings;
  /// The name of the owner's node, and the epoch that fences earlier owners.
  std::string mNode;
  std::uint64_t mEpoch{ 0 };
  /// The cluster configuration that currently applies.
  ClusterConfig mConfig;

  /// Jobs that have not ended, by name.
  std::map<std::string, JobRow> mJobs;
  /// Jobs that have ended, by name, and ordered by the time of their end.
  std::map<std::string, OutcomeRow> mOutcomes;
  absl::btree_set<std::pair<Time, std::string>> mOutcomesByEnd;
  /// Jobs with a future occurrence, by the time when it is due.
  absl::btree_set<std::pair<Time, std::string>> mSchedule;
  /// Steps with tasks that can be placed, in scheduling order.
  absl::btree_set<ReadyKey> mReady;
  /// The number of stored jobs without a started task, by the host and path prefix of their queue;
  /// scheduled jobs are not counted.
  std::map<std::pair<std::string, std::string>, std::uint64_t> mUnstarted;

  /// The weights, quotas and usage of the teams, over all workers.
  TeamTable mTeams;
  /// What the runs of each team use, by pool.
  absl::btree_map<std::pair<std::string, TeamId>, Resources> mPoolUsage;
  /// The teams of which the last placement pass that examined them held steps back for their quota.
  absl::btree_set<TeamId> mTeamsAtQuota;

  /// Workers by name; ordered, so that equal inputs give equal decisions in every process.
  std::map<std::string, WorkerRow> mWorkers;
  /// Recent crashes of workers, in the order in which they were noticed.
  std::deque<WorkerCrash> mCrashes;
  /// Workers that are out of reach and had runs, which may have crashed them.
  std::set<std::string> mLostWorkers;
  /// Whether the last placement pass left a trial waiting for workers.
  bool mHasWaitingTrials{ false };
  /// Whether a complete list of the registry has been read.
  bool mRegistryRead{ false };
  /// Maintenance waves by number.
  std::map<std::uint64_t, WaveRow> mWaves;
  /// Machines whose maintenance order has to be stored, by wave; an empty name stands for the
  /// completed wave.
  absl::btree_set<std::pair<std::uint64_t, std::string>> mNewMaintenance;
  /// Nodes that can query the advice service.
  std::vector<AdviceProxyRow> mAdviceProxies;
  /// How many of the queried workers the service allowed, by the host and path prefix of the queue.
  std::map<std::pair<std::string, std::string>, AdviceShare> mAdviceShares;

  /// The submissions of each team against its rate; a successor starts without.
  std::map<TeamId, TeamRateRow> mTeamRates;
  /// When these rows were last updated.
  Time mLastTeamUpdate{};
  /// When a step last waited for capacity, by pool; only kept while the configuration has teams.
  std::map<std::string, Time> mCapacityMissedAt;

  /// Changes since the last append: accepted jobs, tasks with new progress, outcomes, deleted keys.
  std::vector<std::string> mNewJobs;
  absl::btree_set<JobTaskKey> mNewProgress;
  /// Tasks under which a worker has crashed since then.
  absl::btree_set<JobTaskKey> mNewCrashes;
  /// Tasks with a run that may have crashed its worker unseen, or that was cleared of it.
  absl::btree_set<JobTaskKey> mNewLapses;
  std::vector<std::string> mNewOutcomes;
  std::vector<std::string> mDeletedKeys;
  /// The batch that collects starts and ends for the next append.
  AppendBatch mNextBatch;
  /// The append that the store has not confirmed yet.
  std::optional<AppendBatch> mInFlight;
  /// The number of the next append; the store applies appends of an epoch in this order.
  std::uint64_t mNextSequence{ 0 };
  /// The earliest time of the next append.
  Time mNextAppend{};
  /// When the append that found the store unavailable was first sent; Never() while the store
  /// answers.
  Time mStoreLostAt{ Time::Never() };
  /// Whether the store rejected the last append.
  bool mStoreRejects{ false };

  /// When the last call was sent that showed that no other node had claimed the cell: the claim, a
  /// read of it, or an append. An election does not show it, since other nodes may claim the cell
  /// too.
  Time mConfirmedAt{};
  /// The same without the claim; zero until the first such call was answered.
  Time mClaimConfirmedAt{};
  /// Calls about jobs that this owner does not know, in the order of their arrival.
  std::deque<UnknownJobQuery> mUnknownJobQueries;
  /// When this node became the owner; leases granted by earlier owners end a bounded time after it.
  Time mOwnerSince{};
  /// Whether a worker, the store or the machines have refused this epoch; a fenced owner does no
  /// more work.
  bool mFenced{ false };
  /// Whether the owner is behind with its events, so that it polls no more often than it has to.
  bool mIsBehind{ false };
  /// Whether entries of workers or the configuration have changed since the infeasible steps
  /// were last examined.
  bool mCapacityMayHaveGrown{ false };
  Time mNextFeasibilityCheck{};
  /// Whether capacity or ready steps have changed since the last placement pass.
  bool mPlacementNeeded{ false };
  /// The number of the last placement pass; passes are numbered from 1.
  std::uint64_t mPlacementPass{ 0 };
  /// The number of the last gang reservation.
  std::uint64_t mLastReservation{ 0 };
  /// The earliest time of the next placement pass.
  Time mNextPlacement{};
  /// When the periodic checks last ran, and the last pass over all workers.
  Time mLastCheck{};
  Time mLastWorkerUpdate{};
  /// Periodic checks that placed tasks although no event had requested a placement pass.
  std::uint64_t mMissedWakeups{ 0 };
  /// The workers by the time when their next poll is due. A worker whose time has changed stands
  /// in several places, of which only the one at its current time counts.
  absl::btree_set<std::pair<Time, std::string>> mPollQueue;
};

} // namespace by
