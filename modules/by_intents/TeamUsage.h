#pragma once

#include <cstdint>

#include "by_schema/Resources.h"

namespace by {

/// What one team's intents take.
struct TeamUsage
{
  /// The version of the team's intents.
  std::uint64_t mVersion{ 0 };
  /// What its live tasks take.
  Resources mCommitted;
  /// Plans that wait to be confirmed.
  std::int64_t mPlans{ 0 };
};

} // namespace by
