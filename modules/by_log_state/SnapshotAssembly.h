#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"

#include "by_schema/Snapshot.h"

namespace by {

/// Snapshot pieces read while the node starts.
struct SnapshotAssembly
{
  /// Pieces by number, grouped by the offset at which reading continues after their snapshot.
  absl::btree_map<std::uint64_t, absl::btree_map<std::uint32_t, Snapshot>> mPieces;
};

} // namespace by
