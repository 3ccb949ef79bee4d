#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "by_cell/CellState.h"
#include "by_entry/OpenCall.h"
#include "by_entry/OwnerPhase.h"
#include "by_schema/CellClaim.h"
#include "by_schema/ClusterConfig.h"
#include "by_schema/EntrySettings.h"
#include "by_schema/MaintenanceWave.h"

namespace by {

/// All that an entry node knows.
struct EntryState
{
  EntrySettings mSettings;
  /// The configuration in force; absent before the first.
  std::optional<ClusterConfig> mConfig;
  /// The waves of upkeep that operators asked for, by number.
  std::map<std::uint64_t, MaintenanceWave> mWaves;

  /// The group of entry nodes.
  std::uint64_t mGeneration{ 0 };
  bool mJoinInFlight{ false };
  Time mNextJoin{};
  /// When the last join was sent that the store answered.
  Time mJoinedAt{};
  /// Whether the group gave the cell to this node.
  bool mElected{ false };

  /// The way to ownership.
  OwnerPhase mPhase{ OwnerPhase::Member };
  std::uint64_t mEpoch{ 0 };
  std::uint64_t mClaimReadNumber{ 0 };
  /// When a step of the way that failed is tried again.
  Time mRetryAt{ Time::Never() };
  /// The cell, while this node owns it.
  std::optional<CellState> mCell;

  /// The newest claim that was read.
  std::optional<CellClaim> mOwner;
  /// The link to the owner.
  bool mLinkUp{ false };
  /// Since when it has been down.
  Time mLinkDownAt{};
  /// Whether the owner said that it acts as one, that it is about to stop, and that it has lost the
  /// store.
  bool mOwnerActive{ false };
  bool mOwnerLeaving{ false };
  bool mOwnerLostStore{ false };
  /// Since when the owner is known to be gone, leaving or without the store; Never() otherwise.
  Time mOwnerReleasedAt{ Time::Never() };
  /// What members were last told of the store.
  bool mStoreLossPublished{ false };
  /// When this node last claimed the cell without being chosen.
  Time mPreemptiveClaimAt{};
  Time mOwnerHeardAt{};
  Time mNextHeartbeat{};
  Time mConnectedAt{};
  /// Nodes that opened a link to this one.
  std::set<std::string> mMembers;

  /// Callers' requests that are not answered.
  std::map<std::uint64_t, OpenCall> mCalls;
  /// What was last said of readiness.
  std::optional<bool> mReady;
  /// A planned stop: when it was asked for, and when the process ends at the latest.
  bool mStopping{ false };
  Time mStopRequestedAt{};
  Time mStopDeadline{ Time::Never() };
  bool mExited{ false };
};

} // namespace by
