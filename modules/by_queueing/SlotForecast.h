#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// The tasks of one step that a worker has capacity for.
struct SlotForecast
{
  /// The number of tasks that fit now.
  std::uint32_t mSlots{ 0 };
  /// The number of tasks that will fit once the runs that end soon have ended.
  std::uint32_t mSlotsSoon{ 0 };

  friend bool operator==(const SlotForecast&, const SlotForecast&) = default;
  friend auto operator<=>(const SlotForecast&, const SlotForecast&) = default;
};

} // namespace by
