#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// What a process may use of its machine.
struct MachineLimits
{
  /// Memory; zero where it is not known. [bytes]
  std::int64_t mMemory{ 0 };
  /// File descriptors; zero where their number is not known.
  std::int64_t mDescriptors{ 0 };

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
  friend auto operator<=>(const MachineLimits&, const MachineLimits&) = default;
};

/// @returns the smaller limit of each kind: that of the settings, and that of the system.
MachineLimits
LimitsInForce(const MachineLimits& aSettings);

} // namespace by
