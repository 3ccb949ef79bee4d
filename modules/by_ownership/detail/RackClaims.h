#pragma once

#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseAnswered;
struct Ownership;
struct OwnershipContext;

namespace detail {

/// Claims racks that have no owner, or whose owner is dead, where this node should own them. Before
/// the rack of a silent owner is claimed its backend servers are asked whether they can be reached.
void
ClaimRacks(Ownership& aOwnership,
           const OwnershipContext& aContext,
           OwnershipActions& aActions,
           Time aNow);

/// Claims the rack of a backend server that has answered such a question.
void
HandleProbeAnswer(Ownership& aOwnership,
                  const OwnershipContext& aContext,
                  const LeaseAnswered& aAnswer,
                  OwnershipActions& aActions,
                  Time aNow);

/// Claims a rack anew whose servers know a higher epoch than the log, or that was to be given up.
void
ReclaimRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

} // namespace detail
} // namespace by
