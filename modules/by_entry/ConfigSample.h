#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "by_core/Time.h"
#include "by_entry/TeamSample.h"

namespace by {

/// The configuration in force at a node at one time, and what the node knows of its teams.
struct ConfigSample
{
  /// Zero without a configuration.
  std::uint64_t mVersion{ 0 };
  /// How long ago the configuration was confirmed to be the newest one.
  Time mConfirmedAge{};
  /// Keys that belong to a team.
  std::size_t mKeys{ 0 };
  /// Whether this node owns the cell, so that it knows the jobs and runs of the teams.
  bool mOwnsCell{ false };
  /// The teams of the configuration in its order; shares, usage and work are zero unless this node
  /// owns the cell.
  std::vector<TeamSample> mTeams{};

  friend bool operator==(const ConfigSample&, const ConfigSample&) = default;
  friend auto operator<=>(const ConfigSample&, const ConfigSample&) = default;
};

} // namespace by
