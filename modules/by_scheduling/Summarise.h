#pragma once

#include "by_scheduling/Scheduler.h"
#include "by_schema/CapacitySummary.h"

namespace by {

/// @returns the node's free capacity and queue length, for heartbeats. VMs that are leaving do not
/// count.
CapacitySummary
Summarise(const Scheduler& aScheduler);

} // namespace by
