#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// The position of a team in a lane. Positions are ordered by their members; the lowest is
/// scheduled first.
struct QueuePosition
{
  /// The team's scheduling key.
  std::int64_t mKey{ 0 };
  /// The arrival sequence number of the team's first task.
  std::uint64_t mSequence{ 0 };
  /// The team at this position.
  TeamId mTeam;

  friend bool operator==(const QueuePosition&, const QueuePosition&) = default;
  friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

} // namespace by
