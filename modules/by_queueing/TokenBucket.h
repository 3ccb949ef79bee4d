#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// The submissions that a team may make now without exceeding its rate.
struct TokenBucket
{
  /// A submission takes one token. [thousandths]
  std::int64_t mMilliTokens{ 0 };
  /// When tokens were last added.
  Time mFilledAt{};

  friend bool operator==(const TokenBucket&, const TokenBucket&) = default;
  friend auto operator<=>(const TokenBucket&, const TokenBucket&) = default;
};

} // namespace by
