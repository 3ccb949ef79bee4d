#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_schema/ListedVm.h"
#include "by_schema/Member.h"

namespace by {

/// The other entry nodes and the platform's VM list, as known to this node.
struct Membership
{
  /// The other entry nodes that were heard from or listed.
  absl::btree_map<NodeId, Member> mMembers;
  /// The VMs of backend servers that are listed or were listed recently.
  absl::flat_hash_map<VmId, ListedVm> mVms;
  /// The VMs of each rack, sorted by name.
  absl::btree_map<RackId, std::vector<VmId>> mRacks;
  /// The region of each availability zone, from the VM list.
  absl::btree_map<ZoneId, std::string> mRegions;
  /// Incremented whenever the VMs of backend servers change.
  std::uint64_t mVmsVersion{ 0 };
};

} // namespace by
