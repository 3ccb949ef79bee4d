#pragma once

#include <map>
#include <string>

#include "by_cell/MaintenanceRow.h"
#include "by_core/Time.h"
#include "by_schema/MaintenanceWave.h"

namespace by {

/// One maintenance wave, with its machines.
struct WaveRow
{
  MaintenanceWave mWave;
  /// When this owner received the operator's request; zero while only stored records are known.
  Time mRequestedAt{};
  /// The maintenance of each machine, by the machine's name.
  std::map<std::string, MaintenanceRow> mMachines;
  /// Whether the maintenance of every machine has finished.
  bool mCompleted{ false };
  /// Which states of the wave are published for operators, whether a publication is unanswered, and
  /// the earliest time of the next one.
  bool mPublishedRunning{ false };
  bool mPublishedCompleted{ false };
  bool mPublishInFlight{ false };
  Time mNextPublish{};
};

} // namespace by
