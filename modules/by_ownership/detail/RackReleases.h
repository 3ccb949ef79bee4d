#pragma once

#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

struct Ownership;
struct OwnershipContext;

namespace detail {

/// Gives racks up: all of them when this node stops, a few at a time when a steady node should own
/// them. Placing ends before the release is appended; leases are renewed until the log has it.
void
ReleaseRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow);

} // namespace detail
} // namespace by
