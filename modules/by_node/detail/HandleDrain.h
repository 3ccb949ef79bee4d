#pragma once

namespace by::detail {

struct StepWork;

/// Starts the drain: the node becomes not ready, accepts nothing new, and hands off its racks and
/// forwards its queued requests.
void
StartDrain(StepWork& aWork);

/// Continues the drain; ends the process once nothing is pending or the time limit has passed.
void
AdvanceDrain(StepWork& aWork);

} // namespace by::detail
