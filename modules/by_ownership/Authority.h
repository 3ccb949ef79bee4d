#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

class ClusterSettings;
class OwnedVm;
struct Ownership;

/// Says whether this node may place on a VM now: the lease is unexpired, all tasks there are known,
/// the VM is not leaving and the rack is not being handed over.
/// @returns the epoch to start under, or nothing.
std::optional<std::uint64_t>
AuthorityOn(const Ownership& aOwnership,
            const VmId& aVm,
            Time aNow,
            const ClusterSettings& aSettings);

/// Bounds the time within which a backend server may take a start that is sent now.
/// @returns the start's not-after time; not later than aNow where there is no authority.
Time
StartDeadline(const Ownership& aOwnership,
              const VmId& aVm,
              Time aNow,
              const ClusterSettings& aSettings);

/// Finds the server's process that granted a VM's lease; a start names it, so that a replaced
/// server takes no start that was meant for the old one.
/// @returns zero where none has granted it.
std::uint64_t
ServerIncarnation(const Ownership& aOwnership, const VmId& aVm);

/// Finds the epoch under which this node may act on tasks that run on a VM, also one that is
/// leaving.
std::optional<std::uint64_t>
CommandEpoch(const Ownership& aOwnership, const VmId& aVm, Time aNow);

/// Says whether nothing can run in a rack that this node does not know of: each of its VMs was
/// taken over under this epoch, or its lease has lapsed for certain.
bool
IsRackResolved(const Ownership& aOwnership, const RackId& aRack);

/// Lists the VMs of this node's racks for operators; what is committed there is left at zero.
std::vector<OwnedVm>
OwnedVms(const Ownership& aOwnership, Time aNow, const ClusterSettings& aSettings);

} // namespace by
