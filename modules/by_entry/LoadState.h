#pragma once

#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// What a node knows of how far it is behind.
struct LoadState
{
  /// Requests of members that were dropped since the last report, because their callers no longer
  /// waited, and when the next report is due.
  std::uint64_t mDroppedRequests{ 0 };
  Time mNextDropReport{};
};

} // namespace by
