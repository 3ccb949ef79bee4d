#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_placement/VmTable.h"

namespace by {

/// Number of consecutive failed tasks after which a VM is quarantined.
inline constexpr std::int64_t kFailuresToQuarantine = 3;
/// Duration of the first quarantine. It doubles each time a probe fails.
inline constexpr Time kInitialBackoff = Time::FromSeconds(2);
/// Maximum duration of a quarantine.
inline constexpr Time kMaxBackoff = Time::FromSeconds(120);

/// Records a failed task on a VM. The VM is quarantined after kFailuresToQuarantine consecutive
/// failures, or at once if it is being probed. Does nothing while the VM is quarantined.
void
RecordFailure(VmTable& aTable, const VmId& aVm, Time aNow);

/// Records a successful task on a VM, which resets its failure count and backoff and ends its
/// quarantine or probing.
void
RecordSuccess(VmTable& aTable, const VmId& aVm);

/// Ends the quarantines that have expired. Each of these VMs gets one task at a time, as a probe,
/// until one succeeds.
/// @returns whether any quarantine ended.
bool
EndQuarantines(VmTable& aTable, Time aNow);

} // namespace by
