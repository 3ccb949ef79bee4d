#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// A worker that an advice query can list.
struct AdviceCandidate
{
  /// The number of tasks of the step that fit on it now, and when the answer arrives.
  std::uint32_t mSlots{ 0 };
  std::uint32_t mSlotsSoon{ 0 };
  /// The probability that the service allows it to run the step.
  double mAllowedShare{ 0.0 };

  friend bool operator==(const AdviceCandidate&, const AdviceCandidate&) = default;
  friend auto operator<=>(const AdviceCandidate&, const AdviceCandidate&) = default;
};

} // namespace by
