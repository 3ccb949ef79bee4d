#pragma once

#include <cstdint>
#include <string>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/TaskPhase.h"
#include "by_schema/TaskState.h"

namespace by {

/// A live assignment from the view of the rack's owner.
struct TrackedTask
{
  /// The assignment's generation.
  std::uint64_t mGeneration{ 0 };
  /// The rack that the task is assigned to.
  RackId mRack;
  /// The phase of the task on this node.
  TaskPhase mPhase{ TaskPhase::Offered };
  /// The VM on which the task has a reservation or runs; empty before it is placed.
  VmId mVm;
  /// Whether capacity is reserved for the task and was not released yet.
  bool mHoldsReservation{ false };
  /// When the task entered its phase; in phase VmLost, when the VM's lease has certainly expired.
  Time mSince;
  /// When the server first reported that the task runs; zero for never.
  Time mSeenRunningAt;
  /// The server refuses the task's start after this time.
  Time mNotAfter;
  /// The final state of the task.
  TaskState mEnd{ TaskState::NotStarted };
  /// One sentence on why the task did not succeed; empty otherwise.
  std::string mDetail;
  /// When the phase was last reported; zero for never.
  Time mReportedAt;
  /// When a stop was last sent; zero for never.
  Time mStoppedAt;

  friend bool operator==(const TrackedTask&, const TrackedTask&) = default;
};

} // namespace by
