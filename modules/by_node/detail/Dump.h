#pragma once

#include <vector>

#include "by_core/Time.h"
#include "by_schema/ConfigStatus.h"
#include "by_schema/NodeStatus.h"
#include "by_schema/StateDump.h"
#include "by_schema/VmDescription.h"

namespace by {

struct NodeState;

namespace detail {

/// Lists this node and the other nodes as operators see them.
/// @param aAll whether nodes that are not alive are included.
std::vector<NodeStatus>
NodeStatuses(const NodeState& aState, Time aNow, bool aAll);

/// Builds the status of the active configuration with the versions on all nodes.
/// @param aDocument whether the configuration document is included.
ConfigStatus
ConfigStatusOf(const NodeState& aState, Time aNow, bool aDocument);

/// Dumps the node's state.
/// @param aBrief whether long tables are shortened.
StateDump
DumpOf(const NodeState& aState, Time aNow, bool aBrief);

/// Lists the backend servers in the platform's VM list.
std::vector<VmDescription>
BackendServersOf(const NodeState& aState);

} // namespace detail
} // namespace by
