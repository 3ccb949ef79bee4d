#pragma once

#include "by_schema/NodeEffect.h"
#include "by_schema/NodeEvent.h"
#include "by_schema/StateDump.h"
#include "by_telemetry/Metrics.h"

namespace by {

/// Counts what reaches a node's step.
void
CountEvent(Metrics& aMetrics, const NodeEvent& aEvent);

/// Counts what a node's step wants done.
void
CountEffect(Metrics& aMetrics, const NodeEffect& aEffect);

/// Sets all gauges from a dump of the node's state.
void
SetGauges(Metrics& aMetrics, const StateDump& aState);

} // namespace by
