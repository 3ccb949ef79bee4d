#pragma once

#include <cstddef>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_core/Time.h"

namespace by {

/// How far the snapshots in the log have come.
struct SnapshotProgress
{
  /// The log time up to which the newest whole snapshot holds the state; before the first
  /// snapshot, the log time of the first entry.
  Time mNewestSnapshotTime{};
  /// Pieces read so far, by the offset that their snapshot reads on from.
  absl::btree_map<std::uint64_t, absl::btree_set<std::uint32_t>> mPieces;
};

} // namespace by
