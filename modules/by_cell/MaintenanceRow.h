#pragma once

#include <compare>

#include "by_cell/MaintenancePhase.h"
#include "by_core/Time.h"

namespace by {

/// The maintenance of one machine in a wave.
struct MaintenanceRow
{
  MaintenancePhase mPhase{ MaintenancePhase::Waiting };
  /// When the machine entered its phase.
  Time mPhaseSince{};
  /// Whether an order is unanswered, and the earliest time of the next one.
  bool mOrderInFlight{ false };
  Time mNextOrder{};
  /// Start of the worker process that ran there when the maintenance began, since 1970; zero while
  /// unknown.
  Time mPreviousProcessStart{};

  friend bool operator==(const MaintenanceRow&, const MaintenanceRow&) = default;
  friend auto operator<=>(const MaintenanceRow&, const MaintenanceRow&) = default;
};

} // namespace by
