#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseRow;
struct Ownership;
struct OwnershipContext;

namespace detail {

/// Updates the tables to hold exactly the racks that the log assigns to this process.
void
SyncRacks(Ownership& aOwnership,
          const OwnershipContext& aContext,
          OwnershipActions& aActions,
          Time aNow);

/// Updates the leases and the set of unclaimed racks to match the VM list.
void
SyncVms(Ownership& aOwnership,
        const OwnershipContext& aContext,
        OwnershipActions& aActions,
        Time aNow);

/// @returns the row marked as not adopted, so that its next request asks for the inventory.
LeaseRow
PendingAdoption(const LeaseRow& aRow, Time aNow);

/// Stops placing on a VM and reports it as lost if it had been adopted.
void
RevokeVm(LeaseRow& aRow, OwnershipActions& aActions, Time aNow);

/// Stops placing on all VMs of a rack. Their leases are still renewed.
void
RevokeRackVms(Ownership& aOwnership, const RackId& aRack, OwnershipActions& aActions, Time aNow);

} // namespace detail
} // namespace by
