#pragma once

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_core/Identifier.h"
#include "by_schema/NodeProcess.h"
#include "by_schema/RackOwner.h"

namespace by {

/// The owners of racks, folded from the log.
struct RackOwners
{
  /// The latest accepted claim or release of each rack.
  absl::btree_map<RackId, RackOwner> mRows;
  /// The racks of each owner; released racks are listed under the empty process.
  absl::btree_map<NodeProcess, absl::btree_set<RackId>> mByProcess;
};

} // namespace by
