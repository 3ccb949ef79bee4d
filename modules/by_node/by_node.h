#pragma once

/// Module by_node
///
/// Purpose: combines the decision modules into one pure step function from an event to effects.
/// Dependencies: by_requests, by_ownership, by_scheduling, by_intents, by_log_state, by_membership.

#include "by_node/DumpState.h"
#include "by_node/NodeState.h"
#include "by_node/Step.h"
#include "by_node/StepResult.h"
