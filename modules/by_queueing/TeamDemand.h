#pragma once

#include <compare>
#include <cstdint>

namespace by {

/// What the owner knows of the submissions that a team's callers make at all nodes.
struct TeamDemand
{
  /// The submissions since the last update, with those that nodes refused. [thousandths]
  std::int64_t mArrivedMilli{ 0 };
  /// The average of recent intervals. [thousandths of a submission a second]
  std::int64_t mOfferedMilli{ 0 };
  /// The share of them that nodes forward. [thousandths]
  std::int64_t mAdmittedPermille{ 1000 };

  friend bool operator==(const TeamDemand&, const TeamDemand&) = default;
  friend auto operator<=>(const TeamDemand&, const TeamDemand&) = default;
};

} // namespace by
