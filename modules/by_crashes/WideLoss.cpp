#include "by_crashes/WideLoss.h"

namespace by {

namespace {

/// Two workers may well be lost at the same time by two tasks.
constexpr std::size_t kMinLost = 3;

} // namespace

bool
IsWideLoss(std::size_t aLost, std::size_t aBusy)
{
  return aLost >= kMinLost && 2 * aLost >= aBusy;
}

bool
IsTotalLoss(std::size_t aLost, std::size_t aBusy)
{
  return aLost >= kMinLost && aLost >= aBusy;
}

} // namespace by
