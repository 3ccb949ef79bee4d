#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// Where a machine of a wave stands.
enum class UpkeepPhase : std::uint8_t
{
  /// Its turn has not come.
  Waiting,
  /// Its worker gets no new tasks, and what can be moved is moved.
  Emptying,
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
ToString(UpkeepPhase aPhase)
{
  switch (aPhase) {
    case UpkeepPhase::Waiting:
      return "waiting";
    case UpkeepPhase::Emptying:
      return "emptying";
    case UpkeepPhase::Storing:
      return "storing";
    case UpkeepPhase::Ordered:
      return "ordered";
    case UpkeepPhase::Down:
      return "down";
    case UpkeepPhase::Finished:
      return "finished";
  }
  return "?";
}

} // namespace by
