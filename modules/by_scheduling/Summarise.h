#pragma once

#include "by_scheduling/Scheduler.h"
#include "by_schema/CapacitySummary.h"

namespace by {

/// @returns the node's free capacity and queue length, for heartbeats. The capacity of VMs that are
/// leaving does not count, but the resources committed on them are subtracted. Queued gangs are not
/// part of the queue length.
CapacitySummary
Summarise(const Scheduler& aScheduler);

} // namespace by
