#pragma once

#include <cstdint>

#include "by_core/Time.h"
#include "by_intents/IntentTable.h"
#include "by_schema/TaskReports.h"

namespace by::detail {

/// Applies reports of a rack's owner on live generations on that rack.
/// @param aRackEpoch the rack's current epoch; reports under another epoch are ignored.
/// @returns whether the table changed.
bool
FoldReports(IntentTable& aTable, const TaskReports& aReports, std::uint64_t aRackEpoch, Time aAt);

} // namespace by::detail
