#pragma once

#include <compare>
#include <cstdint>

#include "by_cell/LogLimit.h"
#include "by_core/Time.h"
#include "by_queueing/RefusedBacklog.h"
#include "by_queueing/TeamDemand.h"
#include "by_queueing/TokenBucket.h"

namespace by {

/// The submissions of a team against its rate, as the owner of the cell sees them.
struct TeamRateRow
{
  TokenBucket mBucket;
  TeamDemand mDemand;
  RefusedBacklog mRefused;
  /// The rounding error of the share that applies to the owner's own callers.
  std::int64_t mCredit{ 0 };
  /// Since when the team exceeds its rate; Never() while it does not.
  Time mOverSince{ Time::Never() };
  /// When a submission last exceeded the rate, and when one was last refused for it; zero before
  /// the first.
  Time mOverAt{};
  Time mRefusedAt{};
  /// The submissions since mOverSince that were accepted in excess, and that were refused.
  std::uint64_t mExcessCount{ 0 };
  std::uint64_t mRefusedCount{ 0 };
  LogLimit mLog;

  friend bool operator==(const TeamRateRow&, const TeamRateRow&) = default;
  friend auto operator<=>(const TeamRateRow&, const TeamRateRow&) = default;
};

} // namespace by
