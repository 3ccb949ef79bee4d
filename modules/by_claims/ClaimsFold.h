#pragma once

#include "absl/container/btree_map.h"

#include "by_schema/ClaimKey.h"
#include "by_schema/ClaimRow.h"

namespace by {

/// The claims on runs of non-idempotent requests, folded from the log.
struct ClaimsFold
{
  /// The valid claim on each team's label: the first since the label became free.
  absl::btree_map<ClaimKey, ClaimRow> mRows;
  /// Claims by log time, used to remove old ones; may contain claims that were released.
  absl::btree_multimap<Time, ClaimKey> mByAge;
};

} // namespace by
