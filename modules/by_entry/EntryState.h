#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "by_cell/CellState.h"
#include "by_entry/ConfigExchangeState.h"
#include "by_entry/HandoverState.h"
#include "by_entry/KeyRefusals.h"
#include "by_entry/LoadState.h"
#include "by_entry/MemberRow.h"
#include "by_entry/OpenCall.h"
#include "by_entry/OwnerPhase.h"
#include "by_entry/RelayState.h"
#include "by_entry/TeamLimits.h"
#include "by_schema/CellClaim.h"
#include "by_schema/ClusterConfig.h"
#include "by_schema/EntrySettings.h"
#include "by_schema/MaintenanceWave.h"
#include "by_schema/WorkerAnswer.h"
#include "by_teams/KeyTable.h"

namespace by {

/// The complete state of an entry node.
struct EntryState
{
  EntrySettings mSettings;
  /// The configuration in force; empty until the first one arrives.
  std::optional<ClusterConfig> mConfig;
  /// The keys of that configuration.
  KeyTable mKeys;
  /// What is known of the configurations of other nodes.
  ConfigExchangeState mConfigExchange;
  /// Calls that were refused because of their key.
  KeyRefusals mKeyRefusals;
  /// The maintenance waves requested by operators, by number.
  std::map<std::uint64_t, MaintenanceWave> mWaves;

  /// The generation of the group of entry nodes, from the group's last answer.
  std::uint64_t mGeneration{ 0 };
  /// Whether a join request is unanswered.
  bool mJoinInFlight{ false };
  /// When the last join request was sent, and when the next one is due.
  Time mJoinSentAt{};
  Time mNextJoin{};
  /// When the last successful join request was sent; zero before the first.
  Time mJoinedAt{};
  /// When a call of this node to the store last failed; zero before the first.
  Time mStoreFailedAt{};
  /// Since when the calls that renew the membership have failed; Never() while they succeed.
  Time mStoreLostAt{ Time::Never() };
  /// Whether the membership is known to have expired because those calls failed.
  bool mMembershipExpired{ false };
  /// Whether the group elected this node to own the cell.
  bool mElected{ false };
  /// When this node last learned that a node has joined or left the group; zero before the first.
  Time mGroupChangedAt{};

  /// How far this node has come in acquiring the cell.
  OwnerPhase mPhase{ OwnerPhase::Member };
  /// The epoch that this node last claimed, and when it did.
  std::uint64_t mEpoch{ 0 };
  Time mClaimedAt{};
  /// The newest epoch known when this node began to claim; empty if no claim was known.
  std::optional<std::uint64_t> mClaimedAfter;
  /// The number of the last request to read the claim.
  std::uint64_t mClaimReadNumber{ 0 };
  /// At the owner, when the last read of the claim that confirms its ownership was sent, and
  /// whether it is unanswered.
  Time mConfirmSentAt{};
  bool mConfirmInFlight{ false };
  /// When a failed step of acquiring the cell is retried; Never() if none failed.
  Time mRetryAt{ Time::Never() };
  /// The cell, while this node owns it; empty otherwise.
  std::optional<CellState> mCell;

  /// How far this node is behind.
  LoadState mLoad;
  /// The handover of the cell to a larger node.
  HandoverState mHandover;
  /// How the owner's orders reach the workers.
  RelayState mRelays;
  /// Answers to relayed orders that wait to be returned to the owner, and when they are sent.
  std::vector<WorkerAnswer> mRelayedAnswers;
  Time mReturnAnswersAt{ Time::Never() };

  /// The newest claim that was read; empty until one is read.
  std::optional<CellClaim> mOwner;
  /// Whether that claim came from a peer and the store has not confirmed it.
  bool mOwnerUnconfirmed{ false };
  /// When the newest claim was read.
  Time mOwnerKnownAt{};
  /// Whether the link to the owner is up, and the number of the last link that was.
  bool mLinkUp{ false };
  std::uint64_t mOwnerLink{ 0 };
  /// When the link to the owner went down.
  Time mLinkDownAt{};
  /// Whether the owner reported that it is active, that it is about to stop, and that it has lost
  /// the store.
  bool mOwnerActive{ false };
  bool mOwnerLeaving{ false };
  bool mOwnerLostStore{ false };
  /// Since when the owner takes no new jobs because it is overloaded; Never() while it takes them.
  Time mOwnerOverloadedAt{ Time::Never() };
  /// The teams that exceed their rate, by the owner's heartbeats.
  TeamLimits mTeamLimits;
  /// When the owner became known to be gone, leaving or without the store, so that any node may
  /// claim the cell; Never() otherwise.
  Time mOwnerReleasedAt{ Time::Never() };
  /// The store state last published to members.
  bool mStoreLossPublished{ false };
  /// When this node last claimed the cell without being elected.
  Time mPreemptiveClaimAt{};
  /// The largest processor share among the owner's members, by its last heartbeat; zero if it is
  /// unknown. [millicores]
  std::uint32_t mLargestShare{ 0 };
  /// When the owner's last message arrived.
  Time mOwnerHeardAt{};
  /// When the next heartbeat to the owner is due.
  Time mNextHeartbeat{};
  /// When this node last tried to open the link to the owner.
  Time mConnectedAt{};
  /// Nodes that currently have a link to this one, by name.
  std::map<std::string, MemberRow> mMembers;
  /// The largest processor share among them; zero without any. [millicores]
  std::uint32_t mLargestMemberShare{ 0 };

  /// Callers' unanswered requests, by call number.
  std::map<std::uint64_t, OpenCall> mCalls;
  /// The readiness last published; empty before the first time.
  std::optional<bool> mReady;
  /// A planned stop: whether it has begun, when it was requested, and when the process exits at the
  /// latest.
  bool mStopping{ false };
  Time mStopRequestedAt{};
  Time mStopDeadline{ Time::Never() };
  /// Whether the exit of the process has been decided.
  bool mExited{ false };
};

} // namespace by
