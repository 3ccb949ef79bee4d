#pragma once

namespace by::detail {

struct StepWork;

/// Starts the planned stop: not ready, nothing new, racks and queued requests handed over.
void
StartDrain(StepWork& aWork);

/// Goes on with the planned stop; ends the process once nothing is left or the bound has passed.
void
AdvanceDrain(StepWork& aWork);

} // namespace by::detail
