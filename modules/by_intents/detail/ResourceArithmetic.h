#pragma once

#include <cstdint>
#include <string>

#include "by_schema/Resources.h"

namespace by::detail {

/// @returns the sum of two amounts, resource by resource.
Resources
Add(const Resources& aLeft, const Resources& aRight);

/// @returns the difference of two amounts, resource by resource.
Resources
Subtract(const Resources& aLeft, const Resources& aRight);

/// @returns an amount multiplied by a factor.
Resources
Multiply(const Resources& aAmount, std::int64_t aFactor);

/// @returns whether one amount is at most another in every resource.
bool
FitsWithin(const Resources& aPart, const Resources& aWhole);

/// @returns whether an amount is within a quota, in which zero means no limit.
bool
WithinQuota(const Resources& aAmount, const Resources& aQuota);

/// @returns how many times one amount fits into another.
std::int64_t
TimesContained(const Resources& aPart, const Resources& aWhole);

/// @returns the first resource in which an amount exceeds a limit, such as "memory_mb: 64 of 32";
/// empty if there is none.
std::string
DescribeExcess(const Resources& aAmount, const Resources& aBound);

} // namespace by::detail
