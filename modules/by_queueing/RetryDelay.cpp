#include "by_queueing/RetryDelay.h"

#include <algorithm>

namespace by {

namespace {

/// Outages of less than this are usual when the owner of the cell changes.
constexpr Time kMinRetryDelay = Time::FromMilliseconds(1000);
/// Keeps callers from staying away long after the end of an outage.
constexpr Time kMaxRetryDelay = Time::FromMilliseconds(3000);

} // namespace

Time
RetryDelayInOutage(Time aOutageAge, Time aSlack)
{
  const auto latest = std::clamp(aSlack / 2, kMinRetryDelay, kMaxRetryDelay);
  return std::clamp(aOutageAge, kMinRetryDelay, latest);
}

} // namespace by
