#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// The phase of a machine in a maintenance wave.
enum class MaintenancePhase : std::uint8_t
{
  /// It stays in service until the wave's limit allows its maintenance.
  Waiting,
  /// Its worker gets no new tasks, and the runs that can move are moved.
  Evacuating,
  /// The record of its maintenance order is being stored.
  Storing,
  /// The maintenance is ordered and may already have begun.
  Ordered,
  /// The machine is down for its maintenance.
  Down,
  /// The machine is back, does not exist, or is not part of the wave.
  Finished,
};

/// @returns the phase as a word.
constexpr std::string_view
ToString(MaintenancePhase aPhase)
{
  switch (aPhase) {
    case MaintenancePhase::Waiting:
      return "waiting";
    case MaintenancePhase::Evacuating:
      return "emptying";
    case MaintenancePhase::Storing:
      return "storing";
    case MaintenancePhase::Ordered:
      return "ordered";
    case MaintenancePhase::Down:
      return "down";
    case MaintenancePhase::Finished:
      return "finished";
  }
  return "?";
}

} // namespace by
