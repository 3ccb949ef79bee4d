#pragma once

#include <deque>

#include "absl/container/flat_hash_set.h"

#include "by_core/Identifier.h"

namespace by {

/// The ids of the latest records, used to ignore a record that was appended twice.
struct RecentRecords
{
  /// The ids in log order, for eviction.
  std::deque<RecordId> mInOrder;
  /// The same ids, for lookup.
  absl::flat_hash_set<RecordId> mIds;
};

} // namespace by
