#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "by_schema/Resources.h"

namespace by {

/// How many kinds of resources there are.
inline constexpr std::size_t kResourceKinds = 4;

/// Amounts in the order processors, memory, accelerators, slots.
using ResourceAmounts = std::array<std::int64_t, kResourceKinds>;

/// Stands for "no limit" in an amount.
inline constexpr std::int64_t kNoLimit = std::int64_t{ 1 } << 50;

/// The names of the kinds, in the order of ResourceAmounts, as the schema spells them.
inline constexpr std::array<const char*, kResourceKinds> kResourceNames{ "cpu_millis",
                                                                         "memory_mb",
                                                                         "accelerators",
                                                                         "slots" };

/// @returns the amounts of a value, for arithmetic.
ResourceAmounts
AmountsOf(const Resources& aResources);

/// @returns the value with these amounts.
Resources
FromAmounts(const ResourceAmounts& aAmounts);

/// @returns the sum, kind by kind.
Resources
Plus(const Resources& aLeft, const Resources& aRight);

/// @returns the difference, kind by kind; it may be negative.
Resources
Minus(const Resources& aLeft, const Resources& aRight);

/// @returns the larger amount, kind by kind.
Resources
LargerOf(const Resources& aLeft, const Resources& aRight);

/// @returns aPermille thousandths of each amount, rounded down.
Resources
Permille(const Resources& aResources, std::int64_t aPermille);

/// @returns whether aRequested is no more than aFree in any kind.
bool
Fits(const Resources& aRequested, const Resources& aFree);

/// @returns what a task that declares these resources takes: one slot at least, and nothing
/// negative.
Resources
EffectiveDemandOf(const Resources& aDeclared);

} // namespace by
