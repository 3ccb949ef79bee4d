#pragma once

#include <cstdint>
#include <optional>

#include "by_cell/ReadyKey.h"
#include "by_cell/StepAdvice.h"

namespace by {

/// One step of an occurrence.
struct StepRow
{
  /// The place of its first task.
  std::uint32_t mFirst{ 0 };
  std::uint32_t mCount{ 0 };
  /// The longest chain of work from here on.
  Time mCriticalPath{};
  /// What finishing its job is still worth.
  Urgency mUrgency{ Urgency::OnTime };
  /// Whether all tasks of the step are done.
  bool mDone{ false };
  /// Its place in the order of ready steps; absent while no task of it can be placed.
  std::optional<ReadyKey> mReady;
  StepAdvice mAdvice;
};

} // namespace by
