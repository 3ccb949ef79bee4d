#pragma once

#include <cstdint>

#include "by_schema/ConfigDocument.h"

namespace by {

/// The parts of the folded state that intents depend on, at the position of the entry in the log.
struct IntentFoldContext
{
  /// The current epoch of the rack named by a TaskReports record; zero if the rack has no owner.
  std::uint64_t mRackEpoch{ 0 };
  /// The active configuration; null means that there are no quotas.
  const ConfigDocument* mConfig{ nullptr };
};

} // namespace by
