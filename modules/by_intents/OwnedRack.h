#pragma once

#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// One rack under this node's authority.
struct OwnedRack
{
  /// The rack.
  RackId mRack;
  /// This node's epoch for it.
  std::uint64_t mEpoch{ 0 };
  /// Whether every VM that ever took a start in it has answered this epoch's lease with its
  /// inventory, or can't run anything any more because its last lease has lapsed for certain.
  bool mReconciled{ false };
};

} // namespace by
