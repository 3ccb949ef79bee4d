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

/// Checks whether this node may place on a VM now: the lease has not expired, all tasks on the VM
/// are known, the VM is not leaving, and its rack is neither being released nor superseded. With
/// lease timeouts, the authority from the log must not have expired either.
/// @returns the epoch to start tasks under, or nothing.
std::optional<std::uint64_t>
AuthorityOn(const Ownership& aOwnership,
            const VmId& aVm,
            Time aNow,
            const ClusterSettings& aSettings);

/// Limits the time during which a backend server may accept a start that is sent now.
/// @returns the start's not-after time; aNow if this node has no authority.
Time
StartDeadline(const Ownership& aOwnership,
              const VmId& aVm,
              Time aNow,
              const ClusterSettings& aSettings);

/// Finds the incarnation of the backend server that granted a VM's lease. A start carries it, so
/// that a replaced server does not accept a start meant for its predecessor.
/// @returns the incarnation, or zero if no lease has been granted.
std::uint64_t
ServerIncarnation(const Ownership& aOwnership, const VmId& aVm);

/// Finds the epoch for commands to tasks that already run on a VM, including a VM that is leaving.
/// @returns the epoch, or nothing if this node holds no unexpired lease.
std::optional<std::uint64_t>
CommandEpoch(const Ownership& aOwnership, const VmId& aVm, Time aNow);

/// Checks that no unknown task can run in a rack: each of its VMs was adopted under this epoch, or
/// the VM's lease has certainly expired.
bool
IsRackResolved(const Ownership& aOwnership, const RackId& aRack);

/// Lists the VMs of this node's racks for operators. Committed resources are left at zero.
std::vector<OwnedVm>
OwnedVms(const Ownership& aOwnership, Time aNow, const ClusterSettings& aSettings);

} // namespace by
