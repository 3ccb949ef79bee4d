#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseRow;
struct Ownership;
struct OwnershipContext;

namespace detail {

/// Makes the tables hold just the racks that the log gives to this process.
void
SyncRacks(Ownership& aOwnership,
          const OwnershipContext& aContext,
          OwnershipActions& aActions,
          Time aNow);

/// Makes the leases follow the list of VMs.
void
SyncVms(Ownership& aOwnership,
        const OwnershipContext& aContext,
        OwnershipActions& aActions,
        Time aNow);

/// @returns the row with its VM no longer adopted; the next request asks for the inventory.
LeaseRow
PendingAdoption(const LeaseRow& aRow, Time aNow);

/// Gives up placing on a VM, and reports it where the VM had been taken over.
void
RevokeVm(LeaseRow& aRow, OwnershipActions& aActions, Time aNow);

/// Gives up placing on all VMs of a rack; their leases are still renewed.
void
RevokeRackVms(Ownership& aOwnership, const RackId& aRack, OwnershipActions& aActions, Time aNow);

} // namespace detail
} // namespace by
