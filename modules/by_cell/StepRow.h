#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "by_cell/ReadyKey.h"
#include "by_cell/StepAdvice.h"

namespace by {

/// One step of an occurrence, with what its placement needs.
struct StepRow
{
  /// The index of its first task among the occurrence's tasks, and the number of its tasks.
  std::uint32_t mFirst{ 0 };
  std::uint32_t mCount{ 0 };
  /// The longest declared time from the start of this step to the end of the job.
  Time mCriticalPath{};
  /// How urgent its job is with respect to its objective.
  Urgency mUrgency{ Urgency::OnTime };
  /// Whether no worker of its pool could host it, or all members of a gang, even without other
  /// runs.
  bool mInfeasible{ false };
  /// Whether all tasks of the step are done.
  bool mDone{ false };
  /// Its key among the ready steps; empty while none of its tasks can be placed.
  std::optional<ReadyKey> mReady;
  StepAdvice mAdvice;
  /// The number of its last gang reservation; zero before the first.
  std::uint64_t mReservation{ 0 };
  /// The newest failed run of its gang, and the workers that reported a failed member of it; zero
  /// before the first.
  std::uint32_t mFailedRun{ 0 };
  std::set<std::string> mFailedOn;
  /// Whether a task of it is suspected of crashing workers, or was.
  bool mHasSuspects{ false };
  /// Since when a trial of its suspects waits for workers; zero while none does.
  Time mTrialWaitsSince{};
  /// When the log may next say why the step waits.
  Time mNextWaitReport{};
};

} // namespace by
