#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_core/Time.h"

namespace by {

/// Which snapshots the log contains.
struct SnapshotProgress
{
  /// The log time of the state in the newest complete snapshot; before the first snapshot, the log
  /// time of the first entry.
  Time mNewestSnapshotTime{};
  /// Pieces read so far, grouped by the offset at which reading continues after their snapshot.
  absl::btree_map<std::uint64_t, absl::btree_set<std::uint32_t>> mPieces;
};

} // namespace by
