#pragma once

#include "by_core/Time.h"

namespace by {

/// @returns whether failed calls to the store are an outage and not a single lost answer.
/// @param aOutageAge how long this node has not reached the store; zero while it does.
bool
IsOutage(Time aOutageAge);

/// Chooses how long a request waits at a node that has no owner to forward it to.
///
/// Load pattern: the owner stops or is lost while the store is away. No node can claim the cell
/// until the store is back, so that requests that wait for an owner are answered only when their
/// callers have given up, and can no longer be sent to a node that may have an owner.
/// @param aOutageAge how long this node has not reached the store; zero while it does.
/// @param aWait how long a request waits while the store answers.
Time
OwnerWaitInOutage(Time aOutageAge, Time aWait);

} // namespace by
