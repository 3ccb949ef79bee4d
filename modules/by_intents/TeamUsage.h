#pragma once

#include <cstdint>

#include "by_schema/Resources.h"

namespace by {

/// The resource usage of one team's intents.
struct TeamUsage
{
  /// The version of the team's intents.
  std::uint64_t mVersion{ 0 };
  /// The resources that the team's live tasks request.
  Resources mCommitted;
  /// Number of unconfirmed plans.
  std::int64_t mPlans{ 0 };
};

} // namespace by
