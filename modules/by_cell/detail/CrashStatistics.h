#pragma once

#include <string>

#include "by_cell/CellState.h"
#include "by_core/Time.h"
#include "by_crashes/PoolCrashes.h"

namespace by::detail {

/// Workers that fall silent within this time of each other may have been lost together.
constexpr Time kWideLossWindow = Time::FromMilliseconds(1000);

/// @returns what a worker was lost together with, its rack or its pool; nullptr for neither.
const char*
ScopeOfWideLoss(const CellState& aState, const WorkerCrash& aCrash);

/// Counts the workers of a pool that hold no trial, and their crashes.
/// @param aAt the time that they are compared with.
/// @param aExcept a worker that is left out, or empty.
PoolCrashes
CountPoolCrashes(const CellState& aState,
                 const std::string& aPool,
                 Time aAt,
                 const std::string& aExcept);

} // namespace by::detail
