#include "by_intents/detail/ResourceArithmetic.h"

#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"

namespace by::detail {

Resources
Add(const Resources& aLeft, const Resources& aRight)
{
  return Resources::Create({ .mCpuMillis = aLeft.CpuMillis() + aRight.CpuMillis(),
                             .mMemoryMb = aLeft.MemoryMb() + aRight.MemoryMb(),
                             .mAccelerators = aLeft.Accelerators() + aRight.Accelerators(),
                             .mSlots = aLeft.Slots() + aRight.Slots() })
    .value();
}

Resources
Subtract(const Resources& aLeft, const Resources& aRight)
{
  return Add(aLeft, Multiply(aRight, -1));
}

Resources
Multiply(const Resources& aAmount, std::int64_t aFactor)
{
  return Resources::Create({ .mCpuMillis = aAmount.CpuMillis() * aFactor,
                             .mMemoryMb = aAmount.MemoryMb() * aFactor,
                             .mAccelerators = aAmount.Accelerators() * aFactor,
                             .mSlots = aAmount.Slots() * aFactor })
    .value();
}

bool
FitsWithin(const Resources& aPart, const Resources& aWhole)
{
  return aPart.CpuMillis() <= aWhole.CpuMillis() && aPart.MemoryMb() <= aWhole.MemoryMb() &&
         aPart.Accelerators() <= aWhole.Accelerators() && aPart.Slots() <= aWhole.Slots();
}

bool
WithinQuota(const Resources& aAmount, const Resources& aQuota)
{
  const auto within = [](std::int64_t aUsed, std::int64_t aLimit) {
    return aLimit == 0 || aUsed <= aLimit;
  };
  return within(aAmount.CpuMillis(), aQuota.CpuMillis()) &&
         within(aAmount.MemoryMb(), aQuota.MemoryMb()) &&
         within(aAmount.Accelerators(), aQuota.Accelerators()) &&
         within(aAmount.Slots(), aQuota.Slots());
}

std::int64_t
TimesContained(const Resources& aPart, const Resources& aWhole)
{
  const auto ratio = [](std::int64_t aDivisor, std::int64_t aDividend) {
    return aDivisor > 0 ? std::max<std::int64_t>(aDividend, 0) / aDivisor
                        : std::numeric_limits<std::int64_t>::max();
  };
  return std::min({ ratio(aPart.CpuMillis(), aWhole.CpuMillis()),
                    ratio(aPart.MemoryMb(), aWhole.MemoryMb()),
                    ratio(aPart.Accelerators(), aWhole.Accelerators()),
                    ratio(aPart.Slots(), aWhole.Slots()) });
}

std::string
DescribeExcess(const Resources& aAmount, const Resources& aBound)
{
  const auto line = [](const char* aName, std::int64_t aRequested, std::int64_t aLimit) {
    return absl::StrCat(aName, ": ", aRequested, " of ", aLimit);
  };
  if (aAmount.CpuMillis() > aBound.CpuMillis()) {
    return line("cpu_millis", aAmount.CpuMillis(), aBound.CpuMillis());
  }
  if (aAmount.MemoryMb() > aBound.MemoryMb()) {
    return line("memory_mb", aAmount.MemoryMb(), aBound.MemoryMb());
  }
  if (aAmount.Accelerators() > aBound.Accelerators()) {
    return line("accelerators", aAmount.Accelerators(), aBound.Accelerators());
  }
  if (aAmount.Slots() > aBound.Slots()) {
    return line("slots", aAmount.Slots(), aBound.Slots());
  }
  return "";
}

} // namespace by::detail
