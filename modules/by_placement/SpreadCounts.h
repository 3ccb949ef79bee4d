#pragma once

#include <cstdint>

#include "absl/container/btree_map.h"

#include "by_core/Identifier.h"

namespace by {

/// The distribution of one service's replicas.
struct SpreadCounts
{
  /// Number of replicas in each availability zone.
  absl::btree_map<ZoneId, std::int64_t> mByZone;
  /// Number of replicas in each rack.
  absl::btree_map<RackId, std::int64_t> mByRack;
  /// The rack that most recently got a replica in each availability zone. The next search starts
  /// after it.
  absl::btree_map<ZoneId, RackId> mLastRack;
};

} // namespace by
