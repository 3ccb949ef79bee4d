#pragma once

#include <optional>

#include "by_core/Identifier.h"
#include "by_placement/PlacementRequest.h"
#include "by_placement/VmTable.h"

namespace by {

/// Chooses a VM for a task without changing the table. Returns nothing if no VM fits.
using VmSearch = std::optional<VmId> (*)(const VmTable& aTable, const PlacementRequest& aRequest);

/// Chooses the VM that has the least capacity left over, comparing accelerators first and then the
/// scarcer of processors and memory. Replicas of a service go to the availability zone, and within
/// it to the rack, that has the fewest of them. The cost of a search over all racks grows with the
/// number of distinct slot and accelerator counts, not with the number of VMs; a search that is
/// bound to a rack or spreads replicas examines all VMs of each rack that it tries.
std::optional<VmId>
BestFit(const VmTable& aTable, const PlacementRequest& aRequest);

/// Chooses the first VM that fits, by rack and name, without spreading replicas. The cost grows
/// with the number of VMs. This is the baseline for BestFit().
std::optional<VmId>
FirstFit(const VmTable& aTable, const PlacementRequest& aRequest);

} // namespace by
