#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_ownership/OwnershipActions.h"

namespace by {

class LeaseAnswered;
struct Ownership;
struct OwnershipContext;

/// Brings ownership up to date with the log, the VM list and the time: requests leases, claims the
/// racks of dead nodes and releases racks that other nodes should own. Called at the heartbeat
/// interval and after each read of the log.
OwnershipActions
StepOwnership(Ownership& aOwnership, const OwnershipContext& aContext, Time aNow);

/// Handles a backend server's answer to a lease request.
OwnershipActions
ObserveLease(Ownership& aOwnership,
             const OwnershipContext& aContext,
             const LeaseAnswered& aAnswer,
             Time aNow);

/// Schedules a retry after a backend server did not answer a lease request or refused it without a
/// higher epoch. The lease stays valid until it expires.
OwnershipActions
ObserveLeaseFailure(Ownership& aOwnership,
                    const OwnershipContext& aContext,
                    const VmId& aVm,
                    Time aNow);

/// Requests a VM's inventory again after a start whose outcome is unknown. Nothing is placed on the
/// VM until the answer arrives. Call this only after the start's not-after time has certainly
/// passed.
OwnershipActions
RefreshInventory(Ownership& aOwnership,
                 const OwnershipContext& aContext,
                 const VmId& aVm,
                 Time aNow);

} // namespace by
