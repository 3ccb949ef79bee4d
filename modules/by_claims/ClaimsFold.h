#pragma once

#include "absl/container/btree_map.h"

#include "by_schema/ClaimKey.h"
#include "by_schema/ClaimRow.h"

namespace by {

/// The claims on runs of non-idempotent requests, folded from the log.
struct ClaimsFold
{
  /// The first claim of each team and label, which is the valid one.
  absl::btree_map<ClaimKey, ClaimRow> mRows;
  /// Claims by log time, used to remove old ones; may contain claims that were released.
  absl::btree_multimap<Time, ClaimKey> mByAge;
};

} // namespace by
