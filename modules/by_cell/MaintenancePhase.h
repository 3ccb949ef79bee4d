#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// Where a machine of a wave stands.
enum class MaintenancePhase : std::uint8_t
{
  /// Its turn has not come.
  Waiting,
  /// Its worker gets no new tasks, and what can be moved is moved.
  Evacuating,
  /// The record that its upkeep is ordered is on its way to the store.
  Storing,
  /// The order is given, and may have been carried out.
  Ordered,
  /// Its upkeep has begun.
  Down,
  /// It is back, or does not exist.
  Finished,
};

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
