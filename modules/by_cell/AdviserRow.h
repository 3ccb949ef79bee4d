#pragma once

#include <compare>
#include <string>

#include "by_core/Time.h"

namespace by {

/// A node that can ask for advice; each has one question answered at a time.
struct AdviserRow
{
  std::string mNode;
  /// When its open questions are answered, as far as known.
  Time mBusyUntil{};

  friend bool operator==(const AdviserRow&, const AdviserRow&) = default;
  friend auto operator<=>(const AdviserRow&, const AdviserRow&) = default;
};

} // namespace by
