#pragma once

#include <cstdint>
#include <limits>

#include "by_schema/Resources.h"
#include "by_schema/TeamRow.h"

namespace by {

/// The amount of an allotment that has no limit.
inline constexpr std::int64_t kUnlimitedAmount = std::numeric_limits<std::int64_t>::max();

/// @returns the amounts that a task with a demand is charged with: none is negative, or so large
/// that the sum over all runs of a cell could overflow.
Resources
ChargeOf(const Resources& aDemand);

/// @returns whether the team uses more of any resource than its quota allows, which may have been
/// reduced.
bool
IsAboveQuota(const TeamRow& aRow);

/// Counts the further tasks that the team's quota allows; none while it is above its quota.
/// @param aLimit the largest count of interest.
std::uint32_t
CountWithinQuota(const TeamRow& aRow, const Resources& aDemand, std::uint32_t aLimit);

/// @returns whether the team's quota would allow a number of tasks if no other task of it ran.
bool
QuotaCanHold(const TeamRow& aRow, const Resources& aDemand, std::uint32_t aTasks);

} // namespace by
