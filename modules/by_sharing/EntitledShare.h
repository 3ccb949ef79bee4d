#pragma once

#include <cstdint>

#include "by_schema/Resources.h"

namespace by {

/// @returns whether a team uses less than its entitled share of every resource of a pool:
/// aWeight / aWeightSum of its processor time, memory and accelerators.
/// @param aWeightSum the sum of the weights of all teams that compete for the pool.
bool
IsBelowEntitledShare(const Resources& aUsed,
                     const Resources& aTotal,
                     std::int64_t aWeight,
                     std::int64_t aWeightSum);

} // namespace by
