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

/// Revokes VMs whose leases have expired by this node's clock. Reports their tasks as lost once the
/// leases have certainly expired at the server and the log shows that no other node adopted them.
void
ExpireLeases(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

/// Requests all leases that are due.
void
RequestLeases(Ownership& aOwnership,
              const OwnershipContext& aContext,
              OwnershipActions& aActions,
              Time aNow);

/// Requests the lease of one VM.
void
RequestLease(LeaseRow& aRow,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

/// Schedules a VM's next renewal so that the renewals of many VMs are spread over the renewal
/// interval.
/// @returns the time of the next request after a grant.
Time
NextRenewal(const VmId& aVm, const ClusterSettings& aSettings, Time aNow);

} // namespace detail
} // namespace by
