#pragma once

#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

struct Ownership;
struct OwnershipContext;

namespace detail {

/// Releases racks: all of them when this node stops, otherwise a few at a time to steady nodes that
/// should own them. Placing stops before the release is appended; leases are renewed until the log
/// holds the release.
void
ReleaseRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

} // namespace detail
} // namespace by
