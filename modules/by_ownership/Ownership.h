#pragma once

#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/HeldRack.h"
#include "by_schema/LeaseRow.h"
#include "by_schema/PendingClaim.h"

namespace by {

/// The racks that this node owns and the leases of their VMs.
struct Ownership
{
  /// The time of the first step; zero before it.
  Time mStarted{};
  /// Racks that the log assigns to this process.
  absl::btree_map<RackId, HeldRack> mRacks;
  /// The leases of the VMs in those racks.
  absl::btree_map<VmId, LeaseRow> mLeases;
  /// The names of those VMs, by rack.
  absl::btree_map<RackId, absl::btree_set<VmId>> mVmsOfRack;
  /// Claims whose outcome the log has not shown yet.
  absl::btree_map<RackId, PendingClaim> mClaims;
  /// Listed racks that no node has ever claimed.
  absl::btree_set<RackId> mUnclaimed;
  /// The version of the VM list that the tables above reflect.
  std::uint64_t mVmsVersion{ 0 };
  /// When this node stops placing if backend servers do not compare epochs. It moves on with each
  /// read of the log, and while no other node is seen to have read more of the log.
  Time mLogAuthorityUntil{};
};

} // namespace by
