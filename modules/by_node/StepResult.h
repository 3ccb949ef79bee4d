#pragma once

#include <vector>

#include "by_node/NodeState.h"
#include "by_schema/NodeEffect.h"

namespace by {

/// The result of handling one event.
struct StepResult
{
  /// The state after the step.
  NodeState mState;
  /// The effects to carry out, in order.
  std::vector<NodeEffect> mEffects;
};

} // namespace by
