#pragma once

#include <compare>
#include <cstdint>

#include "by_cell/LogLimit.h"
#include "by_queueing/TeamRate.h"

namespace by {

/// A team of which this node forwards only a share of the submissions.
struct TeamLimitRow
{
  /// The share, by the owner's last heartbeat. [thousandths]
  std::int64_t mAdmittedPermille{ kAllPermille };
  /// The rounding error of the decisions so far.
  std::int64_t mCredit{ 0 };
  /// The number of refusals, which spreads the times at which callers come back.
  std::uint64_t mRefusals{ 0 };
  LogLimit mLog;

  friend bool operator==(const TeamLimitRow&, const TeamLimitRow&) = default;
  friend auto operator<=>(const TeamLimitRow&, const TeamLimitRow&) = default;
};

} // namespace by
