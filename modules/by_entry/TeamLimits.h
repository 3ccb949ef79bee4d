#pragma once

#include <compare>
#include <map>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_entry/TeamLimitRow.h"

namespace by {

/// What a node that does not own the cell knows of teams that exceed their rate.
struct TeamLimits
{
  std::map<TeamId, TeamLimitRow> mTeams;
  /// When the owner's last heartbeat arrived.
  Time mHeardAt{};

  friend bool operator==(const TeamLimits&, const TeamLimits&) = default;
  friend auto operator<=>(const TeamLimits&, const TeamLimits&) = default;
};

} // namespace by
