#pragma once

#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseAnswered;
class LeaseFailed;

namespace detail {

struct StepWork;

/// Processes racks, leases and the tasks of intents. Called on control ticks and after entries were
/// read from the log.
void
StepControl(StepWork& aWork);

/// Carries out the actions of the ownership module.
void
Apply(StepWork& aWork, const OwnershipActions& aActions);

/// Handles a backend server's answer to a lease request.
void
ObserveLeaseAnswered(StepWork& aWork, const LeaseAnswered& aAnswered);

/// Handles a lease request that a backend server did not answer.
void
ObserveLeaseFailed(StepWork& aWork, const LeaseFailed& aFailed);

} // namespace detail
} // namespace by
