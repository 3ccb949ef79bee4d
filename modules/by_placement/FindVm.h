#pragma once

#include <optional>

#include "by_core/Identifier.h"
#include "by_placement/PlacementRequest.h"
#include "by_placement/VmTable.h"

namespace by {

/// Chooses a VM for a task, or none; changes nothing.
using VmSearch = std::optional<VmId> (*)(const VmTable& aTable, const PlacementRequest& aRequest);

/// Takes the VM that keeps least of the scarcest resource, accelerators spared first. Replicas of
/// a service go to the availability zone, and there to the rack, with the fewest of them.
/// The cost depends on the number of distinct slot and accelerator counts, not of VMs.
std::optional<VmId>
BestFit(const VmTable& aTable, const PlacementRequest& aRequest);

/// Takes the first VM by name that has room. The cost grows with the number of VMs; it is the
/// baseline that the other is measured against.
std::optional<VmId>
FirstFit(const VmTable& aTable, const PlacementRequest& aRequest);

} // namespace by
