#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// The capacity of one rack, which intents can use.
struct RackCapacity
{
  /// The rack's availability zone.
  ZoneId mZone;
  /// The total capacity of its live backend servers.
  Resources mCapacity;
  /// The capacity of each of its live backend servers.
  std::vector<Resources> mVms;
};

} // namespace by
