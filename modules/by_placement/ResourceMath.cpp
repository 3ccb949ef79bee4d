#include "by_placement/ResourceMath.h"

#include <algorithm>

namespace by {

namespace {

constexpr std::size_t kSlotKind = 3;

} // namespace

ResourceAmounts
AmountsOf(const Resources& aResources)
{
  return {
    aResources.CpuMillis(), aResources.MemoryMb(), aResources.Accelerators(), aResources.Slots()
  };
}

Resources
FromAmounts(const ResourceAmounts& aAmounts)
{
  return Resources::Create({ .mCpuMillis = aAmounts[0],
                             .mMemoryMb = aAmounts[1],
                             .mAccelerators = aAmounts[2],
                             .mSlots = aAmounts[kSlotKind] })
    .value();
}

Resources
Plus(const Resources& aLeft, const Resources& aRight)
{
  auto sum = AmountsOf(aLeft);
  const auto right = AmountsOf(aRight);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    sum[i] += right[i];
  }
  return FromAmounts(sum);
}

Resources
Minus(const Resources& aLeft, const Resources& aRight)
{
  auto rest = AmountsOf(aLeft);
  const auto right = AmountsOf(aRight);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    rest[i] -= right[i];
  }
  return FromAmounts(rest);
}

Resources
LargerOf(const Resources& aLeft, const Resources& aRight)
{
  auto larger = AmountsOf(aLeft);
  const auto right = AmountsOf(aRight);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    larger[i] = std::max(larger[i], right[i]);
  }
  return FromAmounts(larger);
}

Resources
Permille(const Resources& aResources, std::int64_t aPermille)
{
  constexpr std::int64_t kWhole = 1000;
  auto part = AmountsOf(aResources);
  for (auto& amount : part) {
    amount = amount * aPermille / kWhole;
  }
  return FromAmounts(part);
}

bool
Fits(const Resources& aRequested, const Resources& aFree)
{
  const auto requested = AmountsOf(aRequested);
  const auto available = AmountsOf(aFree);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (requested[i] > available[i]) {
      return false;
    }
  }
  return true;
}

std::uint32_t
CountFits(const Resources& aDemand, const Resources& aFree, std::uint32_t aLimit)
{
  const auto demand = AmountsOf(aDemand);
  const auto available = AmountsOf(aFree);
  auto fits = static_cast<std::int64_t>(aLimit);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (demand[i] > 0) {
      fits = std::min(fits, available[i] / demand[i]);
    } else if (available[i] < 0) {
      return 0;
    }
  }
  return static_cast<std::uint32_t>(std::max<std::int64_t>(fits, 0));
}

Resources
EffectiveDemandOf(const Resources& aDeclared)
{
  auto demand = AmountsOf(aDeclared);
  for (auto& amount : demand) {
    amount = std::max<std::int64_t>(amount, 0);
  }
  demand[kSlotKind] = std::max<std::int64_t>(demand[kSlotKind], 1);
  return FromAmounts(demand);
}

} // namespace by
