#pragma once

#include <compare>

#include "by_cell/UpkeepPhase.h"
#include "by_core/Time.h"

namespace by {

/// One machine of a wave.
struct UpkeepRow
{
  UpkeepPhase mPhase{ UpkeepPhase::Waiting };
  /// When it entered its phase.
  Time mSince{};
  /// Whether an order is on its way, and when to send the next.
  bool mOrderOpen{ false };
  Time mNextOrder{};
  /// The start of the worker's process that stood there when its upkeep began, since 1970; zero
  /// while unknown.
  Time mBornBefore{};

  friend bool operator==(const UpkeepRow&, const UpkeepRow&) = default;
  friend auto operator<=>(const UpkeepRow&, const UpkeepRow&) = default;
};

} // namespace by
