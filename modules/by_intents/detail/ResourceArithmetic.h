#pragma once

#include <cstdint>
#include <string>

#include "by_schema/Resources.h"

namespace by::detail {

/// @returns the sum of two amounts.
Resources
Add(const Resources& aLeft, const Resources& aRight);

/// @returns the difference of two amounts.
Resources
Subtract(const Resources& aLeft, const Resources& aRight);

/// @returns an amount several times over.
Resources
Multiply(const Resources& aAmount, std::int64_t aFactor);

/// @returns whether one amount lies within another in each resource.
bool
FitsWithin(const Resources& aPart, const Resources& aWhole);

/// @returns whether an amount lies within a quota, where zero stands for no limit.
bool
WithinQuota(const Resources& aAmount, const Resources& aQuota);

/// @returns how often one amount goes into another.
std::int64_t
TimesContained(const Resources& aPart, const Resources& aWhole);

/// @returns the first resource in which an amount goes past a bound, "memory_mb: 64 of 32"; empty
/// where there is none.
std::string
DescribeExcess(const Resources& aAmount, const Resources& aBound);

} // namespace by::detail
