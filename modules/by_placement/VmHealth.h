#pragma once

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_placement/VmTable.h"

namespace by {

/// A VM that failed this many starts in a row is set aside.
inline constexpr std::int64_t kFailuresToQuarantine = 3;
/// How long a VM is set aside first; doubled each time a probe fails.
inline constexpr Time kInitialBackoff = Time::FromSeconds(2);
/// How long a VM is set aside at most.
inline constexpr Time kMaxBackoff = Time::FromSeconds(120);

/// Counts a task that failed on a VM; sets the VM aside after a few in a row, and at once where
/// the task was its probe.
void
RecordFailure(VmTable& aTable, const VmId& aVm, Time aNow);

/// Counts a task that ended well: the VM takes work as before.
void
RecordSuccess(VmTable& aTable, const VmId& aVm);

/// Lets back the VMs whose time has come; each gets one task at a time until one succeeds.
/// @returns whether any came back.
bool
EndQuarantines(VmTable& aTable, Time aNow);

} // namespace by
