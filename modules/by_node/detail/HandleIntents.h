#pragma once

namespace by::detail {

struct StepWork;

/// Runs the intent controller and the step for the intents' tasks on this node's racks.
void
StepIntents(StepWork& aWork);

} // namespace by::detail
