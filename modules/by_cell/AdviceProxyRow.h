#pragma once

#include <compare>
#include <string>
#include <vector>

#include "by_core/Time.h"

namespace by {

/// A node that can ask for advice; each has one question answered at a time.
struct AdviceProxyRow
{
  std::string mNode;
  /// Questions that it has open, and until when each is waited for at most.
  std::vector<Time> mOpenQueries{};

  friend bool operator==(const AdviceProxyRow&, const AdviceProxyRow&) = default;
  friend auto operator<=>(const AdviceProxyRow&, const AdviceProxyRow&) = default;
};

} // namespace by
