#pragma once

#include <cstddef>

#include "by_core/Time.h"

namespace by {

/// The inputs that decide when this node writes the next snapshot.
struct SnapshotSchedule
{
  /// How long the platform keeps a record.
  Time mRetention{};
  /// This node's rank among the live nodes for writing snapshots. Rank 0 writes; each further rank
  /// takes over later.
  std::size_t mRank{ 0 };
  /// When this node last queued a snapshot for the log; zero before the first.
  Time mLastAttempt{};
};

} // namespace by
