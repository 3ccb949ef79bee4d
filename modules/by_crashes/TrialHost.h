#pragma once

#include <compare>
#include <cstddef>

#include "by_core/Time.h"

namespace by {

/// A worker that a suspected task may be tried on.
struct TrialHost
{
  /// The tasks of the step that it has capacity for.
  std::size_t mSlots{ 0 };
  /// The runs that a crash would end, on other workers too.
  std::size_t mRuns{ 0 };
  /// Whether one of them is on probation, so that a crash could be its doing.
  bool mHasProbation{ false };
  /// When it last answered.
  Time mAnsweredAt{};

  friend bool operator==(const TrialHost&, const TrialHost&) = default;
  friend auto operator<=>(const TrialHost&, const TrialHost&) = default;
};

} // namespace by
