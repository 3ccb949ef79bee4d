#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// Bounds the log lines about events of one kind, such as a team's refused submissions.
struct LogLimit
{
  /// When the present second of the log began; zero before the first line.
  Time mSince{};
  /// The lines written in it, and the events since the last line that got none.
  std::uint32_t mLines{ 0 };
  std::uint64_t mUnlogged{ 0 };

  friend bool operator==(const LogLimit&, const LogLimit&) = default;
  friend auto operator<=>(const LogLimit&, const LogLimit&) = default;
};

} // namespace by
