#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// When a team's first task in a lane gets its turn; the lowest goes first.
struct QueuePosition
{
  /// What the queue is ordered by.
  std::int64_t mKey{ 0 };
  /// The place of the team's first task in the order of arrival.
  std::uint64_t mSequence{ 0 };
  /// The team.
  TeamId mTeam;

  friend bool operator==(const QueuePosition&, const QueuePosition&) = default;
  friend auto operator<=>(const QueuePosition&, const QueuePosition&) = default;
};

} // namespace by
