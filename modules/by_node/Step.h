#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_node/StepResult.h"

namespace by {

class NodeEvent;
class NodeSettings;

/// Builds the state of a process that has just started.
/// @param aIncarnation a number above zero, unique to each process.
NodeState
MakeNodeState(NodeSettings aSettings, std::uint64_t aIncarnation);

/// Handles one event. The function is pure: the same state, event and time give the same result.
/// @param aState the current state, which is moved in and returned in the result.
/// @param aNow the time of the event; it never decreases between calls.
StepResult
Step(NodeState aState, const NodeEvent& aEvent, Time aNow);

} // namespace by
