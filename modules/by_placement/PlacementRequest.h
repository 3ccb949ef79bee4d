#pragma once

#include <string>

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// What a search for a VM looks for.
struct PlacementRequest
{
  /// What the task takes, a slot included.
  Resources mDemand{};
  /// Only VMs of this rack will do; empty for any.
  RackId mRack{};
  /// The service it is a replica of; empty for none.
  std::string mSpreadGroup{};

  friend bool operator==(const PlacementRequest&, const PlacementRequest&) = default;
  friend auto operator<=>(const PlacementRequest&, const PlacementRequest&) = default;
};

} // namespace by
