#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_schema/TeamRow.h"

namespace by {

/// The shares, quotas and usage of the teams on this node's VMs.
struct TeamTable
{
  /// The rows of all teams. A team that is not configured gets a row with a share of 1 when it is
  /// first looked up.
  absl::flat_hash_map<TeamId, TeamRow> mRows;
  /// The sum of the shares of all teams.
  std::int64_t mShareSum{ 0 };
};

} // namespace by
