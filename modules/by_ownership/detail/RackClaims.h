#pragma once

#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseAnswered;
struct Ownership;
struct OwnershipContext;

namespace detail {

/// Claims racks without a live owner for which this node is the preferred owner. With epoch
/// fencing, the backend servers of a rack that was not released by its owner are probed first, to
/// check that this node can reach them.
void
ClaimRacks(Ownership& aOwnership,
           const OwnershipContext& aContext,
           OwnershipActions& aActions,
           Time aNow);

/// Claims the rack of a backend server that has answered a probe, if it still has no live owner.
void
HandleProbeAnswer(Ownership& aOwnership,
                  const OwnershipContext& aContext,
                  const LeaseAnswered& aAnswer,
                  OwnershipActions& aActions,
                  Time aNow);

/// Claims again the racks whose backend servers know a higher epoch than the log shows, including
/// racks that are being released.
void
ReclaimRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

} // namespace detail
} // namespace by
