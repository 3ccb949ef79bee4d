#pragma once

#include <map>
#include <string>

#include "by_cell/MaintenanceRow.h"
#include "by_core/Time.h"
#include "by_schema/MaintenanceWave.h"

namespace by {

/// One wave of upkeep.
struct WaveRow
{
  MaintenanceWave mWave;
  /// When this owner heard of it.
  Time mRequestedAt{};
  /// Its machines by name.
  std::map<std::string, MaintenanceRow> mMachines;
  /// Whether every machine has had its upkeep.
  bool mCompleted{ false };
  /// What operators were told, and whether telling them is under way.
  bool mPublishedRunning{ false };
  bool mPublishedCompleted{ false };
  bool mPublishInFlight{ false };
  Time mNextPublish{};
};

} // namespace by
