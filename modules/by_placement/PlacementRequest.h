#pragma once

#include <string>

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// The requirements of a task for a VM search.
struct PlacementRequest
{
  /// The resources to commit, including a slot.
  Resources mDemand{};
  /// The rack that the VM must be in; empty for any.
  RackId mRack{};
  /// The service that the task is a replica of; empty for none.
  std::string mSpreadGroup{};

  friend bool operator==(const PlacementRequest&, const PlacementRequest&) = default;
  friend auto operator<=>(const PlacementRequest&, const PlacementRequest&) = default;
};

} // namespace by
