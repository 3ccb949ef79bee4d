#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// The room for tasks of one step on a worker that may run the step.
struct HostOutlook
{
  /// The number of tasks that fit now.
  std::uint32_t mSlots{ 0 };
  /// The number of tasks that will fit once the runs that end soon have ended.
  std::uint32_t mSlotsSoon{ 0 };

  friend bool operator==(const HostOutlook&, const HostOutlook&) = default;
  friend auto operator<=>(const HostOutlook&, const HostOutlook&) = default;
};

} // namespace by
