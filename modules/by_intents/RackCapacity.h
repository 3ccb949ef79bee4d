#pragma once

#include <vector>

#include "by_core/Identifier.h"
#include "by_schema/Resources.h"

namespace by {

/// What one rack offers.
struct RackCapacity
{
  /// Its availability zone.
  ZoneId mZone;
  /// What its live backend servers offer together.
  Resources mCapacity;
  /// What each of its live backend servers offers.
  std::vector<Resources> mVms;
};

} // namespace by
