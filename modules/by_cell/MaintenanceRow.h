#pragma once

#include <compare>

#include "by_cell/MaintenancePhase.h"
#include "by_core/Time.h"

namespace by {

/// One machine of a wave.
struct MaintenanceRow
{
  MaintenancePhase mPhase{ MaintenancePhase::Waiting };
  /// When it entered its phase.
  Time mPhaseSince{};
  /// Whether an order is on its way, and when to send the next.
  bool mOrderInFlight{ false };
  Time mNextOrder{};
  /// The start of the worker's process that stood there when its upkeep began, since 1970; zero
  /// while unknown.
  Time mPreviousProcessStart{};

  friend bool operator==(const MaintenanceRow&, const MaintenanceRow&) = default;
  friend auto operator<=>(const MaintenanceRow&, const MaintenanceRow&) = default;
};

} // namespace by
