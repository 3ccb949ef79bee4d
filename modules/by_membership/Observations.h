#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

class Heartbeat;
class VmDescription;
class VmList;
struct Membership;

/// Handles a peer's heartbeat.
/// @returns false if the heartbeat is a duplicate, is older than a previous one or comes from a
///          replaced process; it is ignored then.
bool
ObserveHeartbeat(Membership& aMembership, const Heartbeat& aHeartbeat, Time aNow);

/// Applies the platform's VM list. A VM that the list no longer contains counts as leaving. It is
/// removed once it has been missing for longer than lists may lag.
void
ObserveVmList(Membership& aMembership, const VmList& aList, Time aNow);

/// Finds a backend server's VM.
/// @returns its description, or nullptr if the VM is unknown.
const VmDescription*
FindVm(const Membership& aMembership, const VmId& aVm);

} // namespace by
