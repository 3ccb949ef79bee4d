#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_placement/SpreadCounts.h"
#include "by_placement/VmBucket.h"
#include "by_placement/VmBucketKey.h"
#include "by_schema/Resources.h"
#include "by_schema/VmRow.h"

namespace by {

/// The VMs that may be placed on, with the indexes that keep a search's cost apart from their
/// number. Rows are replaced by ReplaceVm() only, which keeps the indexes current.
struct VmTable
{
  /// All rows.
  absl::flat_hash_map<VmId, VmRow> mRows;
  /// The VMs that may get a task now, by free accelerators and slots.
  absl::btree_map<VmBucketKey, VmBucket> mAvailable;
  /// The VMs of each rack.
  absl::btree_map<RackId, absl::btree_set<VmId>> mByRack;
  /// The racks of each availability zone.
  absl::btree_map<ZoneId, absl::btree_set<RackId>> mRacksByZone;
  /// How many VMs that are not leaving have each capacity.
  absl::btree_map<Resources, std::int64_t> mShapes;
  /// The VMs that are set aside, by the time at which they are let back.
  absl::btree_set<std::pair<Time, VmId>> mQuarantined;
  /// Where the replicas of each service run.
  absl::flat_hash_map<std::string, SpreadCounts> mSpread;
  /// Capacity of all VMs that are not leaving.
  Resources mTotal;
  /// What is committed on all VMs.
  Resources mCommitted;
};

} // namespace by
