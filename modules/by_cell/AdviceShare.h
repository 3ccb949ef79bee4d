#pragma once

#include <compare>

namespace by {

/// How many workers a queue's advice queries have listed for the first time, and how many of them
/// were allowed. Older answers count less. The initial counts stand for an unknown queue.
struct AdviceShare
{
  double mQueried{ 10.0 };
  double mAllowed{ 4.0 };

  friend bool operator==(const AdviceShare&, const AdviceShare&) = default;
  friend auto operator<=>(const AdviceShare&, const AdviceShare&) = default;
};

} // namespace by
