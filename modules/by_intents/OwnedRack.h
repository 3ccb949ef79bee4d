#pragma once

#include <cstdint>

#include "by_core/Identifier.h"

namespace by {

/// A rack that this node owns.
struct OwnedRack
{
  /// The rack's id.
  RackId mRack;
  /// The epoch under which this node owns the rack.
  std::uint64_t mEpoch{ 0 };
  /// Whether every VM in the rack that ever accepted a start has answered a lease request of this
  /// epoch with its inventory, or can't run anything any more because its last lease has certainly
  /// expired.
  bool mReconciled{ false };
};

} // namespace by
