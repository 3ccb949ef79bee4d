#pragma once

#include <cstdint>

#include "by_scheduling/Scheduler.h"
#include "by_schema/ConfigDocument.h"

namespace by {

/// Applies the shares and request quotas of a configuration.
/// @param aAllotmentPermille the fraction of each request quota that this node may use, in
/// thousandths; the fractions of all nodes must not exceed 1000 in total.
void
SetTeams(Scheduler& aScheduler, const ConfigDocument& aConfig, std::int64_t aAllotmentPermille);

} // namespace by
