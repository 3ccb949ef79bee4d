#include "by_sharing/EntitledShare.h"

#include "absl/numeric/int128.h"

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

/// Slots are no resource of their own: workers of some deployments have none.
constexpr std::size_t kSharedKinds = 3;

} // namespace

bool
IsBelowEntitledShare(const Resources& aUsed,
                     const Resources& aTotal,
                     std::int64_t aWeight,
                     std::int64_t aWeightSum)
{
  const auto used = AmountsOf(aUsed);
  const auto total = AmountsOf(aTotal);
  for (std::size_t i = 0; i < kSharedKinds; ++i) {
    if (total[i] > 0 && absl::int128(used[i]) * aWeightSum >= absl::int128(total[i]) * aWeight) {
      return false;
    }
  }
  return true;
}

} // namespace by
