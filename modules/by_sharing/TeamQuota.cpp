#include "by_sharing/TeamQuota.h"

#include <algorithm>

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

/// More than any machine has. Four million runs of this size still add up to less than 2^63.
constexpr std::int64_t kMaxCharge = std::int64_t{ 1 } << 40;

} // namespace

Resources
ChargeOf(const Resources& aDemand)
{
  auto amounts = AmountsOf(aDemand);
  for (auto& amount : amounts) {
    amount = std::clamp<std::int64_t>(amount, 0, kMaxCharge);
  }
  return FromAmounts(amounts);
}

bool
IsAboveQuota(const TeamRow& aRow)
{
  return !Fits(aRow.Used(), aRow.Allotment());
}

std::uint32_t
CountWithinQuota(const TeamRow& aRow, const Resources& aDemand, std::uint32_t aLimit)
{
  return CountFits(aDemand, Minus(aRow.Allotment(), aRow.Used()), aLimit);
}

bool
QuotaCanHold(const TeamRow& aRow, const Resources& aDemand, std::uint32_t aTasks)
{
  return CountFits(aDemand, aRow.Allotment(), aTasks) >= aTasks;
}

} // namespace by
