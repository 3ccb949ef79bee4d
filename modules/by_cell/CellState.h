#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_cell/AdviceProxyRow.h"
#include "by_cell/AppendBatch.h"
#include "by_cell/JobRow.h"
#include "by_cell/OutcomeRow.h"
#include "by_cell/ReadyKey.h"
#include "by_cell/WaveRow.h"
#include "by_cell/WorkerRow.h"
#include "by_schema/CellSettings.h"
#include "by_schema/ClusterConfig.h"

namespace by {

/// All that the owner of a cell knows.
struct CellState
{
  CellSettings mSettings;
  /// The owner's name and epoch.
  std::string mNode;
  std::uint64_t mEpoch{ 0 };
  /// The configuration in force.
  ClusterConfig mConfig;

  /// Jobs that have not ended, by name.
  std::map<std::string, JobRow> mJobs;
  /// Jobs that ended, by name, and in the order in which they ended.
  std::map<std::string, OutcomeRow> mOutcomes;
  absl::btree_set<std::pair<Time, std::string>> mOutcomesByEnd;
  /// Occurrences whose time will come.
  absl::btree_set<std::pair<Time, std::string>> mSchedule;
  /// Steps that have tasks to place.
  absl::btree_set<ReadyKey> mReady;
  /// Jobs of each queue of which no task has started, by host and prefix.
  std::map<std::pair<std::string, std::string>, std::uint64_t> mUnstarted;

  /// Workers by name; ordered, so that equal inputs give equal decisions in every process.
  std::map<std::string, WorkerRow> mWorkers;
  /// Waves of upkeep by number.
  std::map<std::uint64_t, WaveRow> mWaves;
  /// Machines whose order is to be stored, by wave; an empty name is the whole wave.
  absl::btree_set<std::pair<std::uint64_t, std::string>> mNewMaintenance;
  /// Nodes that can ask for advice.
  std::vector<AdviceProxyRow> mAdviceProxies;

  /// Records that changed since the last append: jobs, occurrences, outcomes, dropped keys.
  std::vector<std::string> mNewJobs;
  absl::btree_set<std::pair<std::string, std::uint32_t>> mNewProgress;
  std::vector<std::string> mNewOutcomes;
  std::vector<std::string> mDeletedKeys;
  /// What waits for the next append.
  AppendBatch mNextBatch;
  /// The append that is not answered yet.
  std::optional<AppendBatch> mInFlight;
  std::uint64_t mNextSequence{ 0 };
  /// Not before this time is the next append sent.
  Time mNextAppend{};
  /// Since when the store has not answered; Never() while it does.
  Time mStoreLostAt{ Time::Never() };
  /// Whether it turned the last append away.
  bool mStoreRejects{ false };

  /// When the store last confirmed that this node is the owner.
  Time mConfirmedAt{};
  /// When this node became the owner; leases of earlier owners end at the latest a bound after it.
  Time mOwnerSince{};
  /// Whether a worker or the store has refused this epoch.
  bool mFenced{ false };
  /// Whether room or work changed since tasks were last placed.
  bool mPlacementNeeded{ false };
  /// Not before this time are tasks placed again.
  Time mNextPlacement{};
  /// When the last periodic check ran.
  Time mLastCheck{};
  /// Placements that the periodic check found and events had missed.
  std::uint64_t mMissedWakeups{ 0 };
  /// The earliest time at which a worker is to be looked at.
  Time mPollDue{};
};

} // namespace by
