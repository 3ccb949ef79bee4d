#include "by_queueing/OwnerWait.h"

namespace by {

namespace {

/// A single lost answer of the store is no outage.
constexpr Time kOutageAge = Time::FromMilliseconds(300);

} // namespace

bool
IsOutage(Time aOutageAge)
{
  return aOutageAge >= kOutageAge;
}

Time
OwnerWaitInOutage(Time aOutageAge, Time aWait)
{
  return IsOutage(aOutageAge) ? Time() : aWait;
}

} // namespace by
