#pragma once

#include <cstdint>
#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/TaskPhase.h"
#include "by_schema/TaskState.h"

namespace by {

/// One live assignment as the owner of its rack sees it.
struct TrackedTask
{
  /// The assignment's generation.
  std::uint64_t mGeneration{ 0 };
  /// The rack.
  RackId mRack;
  /// How it stands here.
  TaskPhase mPhase{ TaskPhase::Offered };
  /// The VM that holds its room or runs it; empty before it has one.
  VmId mVm;
  /// Whether room is committed to it that was not given back.
  bool mHoldsReservation{ false };
  /// When it came to its phase; while Vanished, when the VM's lease has lapsed for certain.
  Time mSince;
  /// When its server first said that it runs; zero for never.
  Time mSeenRunningAt;
  /// The server refuses its start after this point in time.
  Time mNotAfter;
  /// How it ended.
  TaskState mEnd{ TaskState::NotStarted };
  /// One sentence where it did not go well.
  std::string mDetail;
  /// When its phase was last reported; zero for never.
  Time mReportedAt;
  /// When its stop was last asked for; zero for never.
  Time mStoppedAt;

  friend bool operator==(const TrackedTask&, const TrackedTask&) = default;
};

} // namespace by
