#pragma once

#include "by_core/Time.h"

namespace by {

class StateDump;
struct NodeState;

/// Dumps a node's state with shortened tables, for metrics.
StateDump
DumpState(const NodeState& aState, Time aNow);

} // namespace by
