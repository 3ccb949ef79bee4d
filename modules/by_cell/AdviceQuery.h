#pragma once

#include <compare>
#include <string>
#include <vector>

#include "by_core/Time.h"

namespace by {

/// A query to the advice service that has not been answered.
struct AdviceQuery
{
  /// The node through which it was sent.
  std::string mNode;
  /// When it counts as lost.
  Time mDeadline{};
  /// The workers that it lists.
  std::vector<std::string> mWorkers;
  /// When the processes of these workers started, in the same order; the tickets of the answer are
  /// for them.
  std::vector<Time> mProcessStarts;

  friend bool operator==(const AdviceQuery&, const AdviceQuery&) = default;
  friend auto operator<=>(const AdviceQuery&, const AdviceQuery&) = default;
};

} // namespace by
