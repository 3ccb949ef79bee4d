#pragma once

#include "absl/container/btree_set.h"

#include "by_placement/FreeCapacityEntry.h"

namespace by {

/// The available VMs with the same number of free slots and accelerators, in two orders.
struct VmBucket
{
  /// Ordered by free processor time, then by free memory.
  absl::btree_set<FreeCapacityEntry> mByCpu;
  /// Ordered by free memory, then by free processor time.
  absl::btree_set<FreeCapacityEntry> mByMemory;
};

} // namespace by
