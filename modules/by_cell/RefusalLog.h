#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// Bounds the log lines about events of one kind, such as a team's refused submissions.
struct RefusalLog
{
  /// When the present second of the log began; zero before the first line.
  Time mSince{};
  /// The lines written in it, and the events since the last line that got none.
  std::uint32_t mLines{ 0 };
  std::uint64_t mUnlogged{ 0 };

  friend bool operator==(const RefusalLog&, const RefusalLog&) = default;
  friend auto operator<=>(const RefusalLog&, const RefusalLog&) = default;
};

} // namespace by
