#pragma once

#include "by_core/Time.h"

namespace by {

struct Ownership;
struct OwnershipContext;

namespace detail {

/// Limits how long this node may place where backend servers do not compare epochs, since the log
/// may hold another node's claim that this node has not read. The limit counts from the last read
/// of the log. In an outage it counts from heartbeats that show that no other node has read more of
/// the log, because a successor starts its wait when it reads its own claim.
void
UpdateLogAuthority(Ownership& aOwnership, const OwnershipContext& aContext);

} // namespace detail
} // namespace by
