#pragma once

#include <map>
#include <string>

#include "by_cell/UpkeepRow.h"
#include "by_core/Time.h"
#include "by_schema/MaintenanceWave.h"

namespace by {

/// One wave of upkeep.
struct WaveRow
{
  MaintenanceWave mWave;
  /// When this owner heard of it.
  Time mAskedAt{};
  /// Its machines by name.
  std::map<std::string, UpkeepRow> mMachines;
  /// Whether every machine has had its upkeep.
  bool mCompleted{ false };
  /// What operators were told, and whether telling them is under way.
  bool mShownRunning{ false };
  bool mShownCompleted{ false };
  bool mShowOpen{ false };
  Time mNextShow{};
};

} // namespace by
