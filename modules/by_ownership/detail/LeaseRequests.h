#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class ClusterSettings;
class LeaseRow;
struct Ownership;
struct OwnershipContext;

namespace detail {

/// Reports VMs whose leases this node may act on no longer, and those whose leases have lapsed for
/// certain.
void
ExpireLeases(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

/// Asks for the leases that are due.
void
RequestLeases(Ownership& aOwnership,
              const OwnershipContext& aContext,
              OwnershipActions& aActions,
              Time aNow);

/// Asks for one lease.
void
RequestLease(LeaseRow& aRow,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

/// Spreads the renewals of many VMs over the interval between two renewals.
/// @returns the time of a VM's next request after a grant.
Time
NextRenewal(const VmId& aVm, const ClusterSettings& aSettings, Time aNow);

} // namespace detail
} // namespace by
