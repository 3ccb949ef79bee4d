#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/container/btree_map.h"

#include "by_cell/RunId.h"
#include "by_cell/RunRow.h"
#include "by_cell/WorkerHealth.h"
#include "by_core/Time.h"
#include "by_schema/WorkerRegistration.h"

namespace by {

/// What the owner knows of one worker.
struct WorkerRow
{
  /// What it registered, or the little that a stored assignment tells of it.
  WorkerRegistration mRegistration;
  /// Whether the registry names it.
  bool mRegistered{ false };
  /// When the registry dropped it.
  Time mDeregisteredAt{};
  WorkerHealth mHealth{ WorkerHealth::Unseen };
  /// When it leaves at the earliest, while it drains.
  Time mDrainsUntil{ Time::Never() };
  /// Whether its machine is about to be taken down, so that it gets no new tasks.
  bool mEvacuating{ false };
  /// When its process started, since 1970; zero while unknown.
  Time mProcessStart{};
  /// Its clock at its last answer, and when that answer came.
  Time mWorkerClock{};
  Time mWorkerClockReadAt{};
  /// The latest lease that was sent to it, on its clock.
  Time mLeaseSent{};
  /// When its present life was first heard of.
  Time mIncarnationSince{};
  /// Until when orders to its earlier life may still be carried out.
  Time mLateOrdersUntil{};
  /// When its lease has passed for certain, while it is lapsing.
  Time mLeaseExpiresAt{ Time::Never() };
  /// Whether a look is on its way, and when it was sent.
  bool mPollInFlight{ false };
  Time mPollSentAt{};
  /// When to look next; Never() where nothing asks for it.
  Time mNextPoll{};
  /// Looks in a row that failed.
  std::uint32_t mPollFailures{ 0 };
  /// The last end that was taken note of, and the last one that is stored.
  std::uint64_t mLastEndSeen{ 0 };
  std::uint64_t mLastEndStored{ 0 };
  /// The runs that take room, and the room that they take.
  absl::btree_map<RunId, RunRow> mRuns;
  Resources mUsed;
  /// Runs in a row that failed here.
  std::uint32_t mConsecutiveFailures{ 0 };
  /// Until when it is set aside.
  Time mQuarantinedUntil{};
  /// How many times as long as declared its tasks take.
  double mSlowness{ 1.0 };
};

} // namespace by
