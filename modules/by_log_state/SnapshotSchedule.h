#pragma once

#include <cstddef>

#include "by_core/Time.h"

namespace by {

/// Whose turn it is to write the next snapshot, as one node sees it.
struct SnapshotSchedule
{
  /// How long the platform keeps a record.
  Time mRetention{};
  /// This node's rank among the live nodes for this job; the first writes, others take over late.
  std::size_t mRank{ 0 };
  /// When this node last appended a snapshot; zero before the first.
  Time mLastAttempt{};
};

} // namespace by
