#include "by_entry/detail/ClaimDelay.h"

#include <cstdint>

#include "by_entry/EntryState.h"

namespace by::detail {

namespace {

/// Nodes with less processor time than a share claim a released cell later, so that a larger node
/// becomes the owner where there is one. [millicores]
constexpr std::uint32_t kSmallShare = 250;
constexpr std::uint32_t kMediumShare = 500;
constexpr Time kSmallShareDelay = Time::FromMilliseconds(150);
constexpr Time kMediumShareDelay = Time::FromMilliseconds(75);

} // namespace

Time
ShareDelay(const EntryState& aState)
{
  const auto share = aState.mSettings.ProcessorShare();
  const bool isLargest = aState.mLargestShare > 0 && share >= aState.mLargestShare;
  if (share >= kMediumShare || isLargest || (aState.mElected && !aState.mLinkUp)) {
    return {};
  }
  return share < kSmallShare ? kSmallShareDelay : kMediumShareDelay;
}

} // namespace by::detail
