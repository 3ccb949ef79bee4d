#pragma once

#include <cstddef>

#include "by_core/Time.h"

namespace by {

/// How long folded rows are kept. The limits must be the same on every node, or the folded states
/// would differ.
struct FoldLimits
{
  /// Claims older than this in log time are removed.
  Time mClaimRetention = Time::FromSeconds(24L * 60 * 60);
  /// Number of record ids that are kept, to ignore a record that was appended twice.
  std::size_t mRecentRecords = 16384;
};

} // namespace by
