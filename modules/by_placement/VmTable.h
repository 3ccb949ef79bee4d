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

/// The VMs that tasks may be placed on, with indexes that keep the cost of a search over all racks
/// independent of their number. Rows are replaced only by ReplaceVm(), which updates the indexes.
struct VmTable
{
  /// The state of each VM.
  absl::flat_hash_map<VmId, VmRow> mRows;
  /// The VMs that may get a task now, by free accelerators and slots.
  absl::btree_map<VmBucketKey, VmBucket> mAvailable;
  /// The VMs of each rack.
  absl::btree_map<RackId, absl::btree_set<VmId>> mByRack;
  /// The racks of each availability zone.
  absl::btree_map<ZoneId, absl::btree_set<RackId>> mRacksByZone;
  /// Number of VMs with each capacity, without those that are leaving.
  absl::btree_map<Resources, std::int64_t> mShapes;
  /// The quarantined VMs, by the end of their quarantine.
  absl::btree_set<std::pair<Time, VmId>> mQuarantined;
  /// The distribution of each service's replicas.
  absl::flat_hash_map<std::string, SpreadCounts> mSpread;
  /// Total capacity of all VMs that are not leaving.
  Resources mTotal;
  /// Total resources committed on all VMs.
  Resources mCommitted;
};

} // namespace by
