#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "by_schema/Resources.h"

namespace by {

/// Number of resource kinds.
inline constexpr std::size_t kResourceKinds = 4;

/// The amounts of processors, memory, accelerators and slots, in this order.
using ResourceAmounts = std::array<std::int64_t, kResourceKinds>;

/// An amount that stands for "no limit".
inline constexpr std::int64_t kNoLimit = std::int64_t{ 1 } << 50;

/// The names of the resource kinds in the schema, in the order of ResourceAmounts.
inline constexpr std::array<const char*, kResourceKinds> kResourceNames{ "cpu_millis",
                                                                         "memory_mb",
                                                                         "accelerators",
                                                                         "slots" };

/// @returns the amounts as an array, for arithmetic.
ResourceAmounts
AmountsOf(const Resources& aResources);

/// @returns the resources with these amounts.
Resources
FromAmounts(const ResourceAmounts& aAmounts);

/// @returns the sum for each kind of resource.
Resources
Plus(const Resources& aLeft, const Resources& aRight);

/// @returns the difference for each kind of resource, which may be negative.
Resources
Minus(const Resources& aLeft, const Resources& aRight);

/// @returns the larger amount for each kind of resource.
Resources
LargerOf(const Resources& aLeft, const Resources& aRight);

/// @returns aPermille thousandths of each amount, rounded towards zero.
Resources
Permille(const Resources& aResources, std::int64_t aPermille);

/// @returns whether aRequested does not exceed aFree in any kind of resource.
bool
Fits(const Resources& aRequested, const Resources& aFree);

/// @returns how many times a demand fits into free resources, at most a limit.
std::uint32_t
CountFits(const Resources& aDemand, const Resources& aFree, std::uint32_t aLimit);

/// @returns the resources to commit for a task that declares aDeclared: at least one slot, and no
/// negative amounts.
Resources
EffectiveDemandOf(const Resources& aDeclared);

} // namespace by
