#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// The refused submissions of a team that are expected to come back.
struct RefusedBacklog
{
  /// Their number; it falls by the team's rate. [thousandths]
  std::int64_t mMilliJobs{ 0 };
  /// When it was last updated.
  Time mUpdatedAt{};

  friend bool operator==(const RefusedBacklog&, const RefusedBacklog&) = default;
  friend auto operator<=>(const RefusedBacklog&, const RefusedBacklog&) = default;
};

} // namespace by
