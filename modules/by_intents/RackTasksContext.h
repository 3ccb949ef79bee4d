#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_intents/OwnedRack.h"

namespace by {

/// The input of a rack owner's step from the rest of the node.
struct RackTasksContext
{
  /// The node that owns the racks.
  NodeId mSelf;
  /// The racks that the node owns.
  std::vector<OwnedRack> mRacks;
  /// Maximum difference between the clocks of two machines.
  Time mClockDrift;
};

} // namespace by
