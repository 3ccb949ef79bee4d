#pragma once

#include "by_core/Time.h"
#include "by_schema/Lane.h"
#include "by_schema/WorkItem.h"

namespace by {

/// Chooses the lane by priority and expected run time.
/// Urgent and deferrable work have their own lanes. Other requests are short if they are expected
/// to run for less than aShortLimit; a request without a run-time estimate counts as short.
/// Services, batches and gangs are always long, whatever run time they declare.
Lane
LaneByLength(const WorkItem& aItem, Time aExpected, Time aShortLimit);

/// Puts all work into the short lane. The baseline policies without lanes use it.
Lane
OneLane(const WorkItem& aItem, Time aExpected, Time aShortLimit);

} // namespace by
