#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// What a query costs the node that sends it; the service answers one query of a node at a time.
struct AdviceCost
{
  /// The fixed time of a query. [us]
  std::int64_t mQueryUs{ 0 };
  /// The further time for each worker that the query lists. [us]
  std::int64_t mWorkerUs{ 0 };

  friend bool operator==(const AdviceCost&, const AdviceCost&) = default;
  friend auto operator<=>(const AdviceCost&, const AdviceCost&) = default;
};

} // namespace by
