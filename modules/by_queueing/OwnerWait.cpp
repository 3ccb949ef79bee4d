#include "by_queueing/OwnerWait.h"

namespace by {

namespace {

/// A single lost answer of the store is no outage.
constexpr Time kOutageAge = Time::FromMilliseconds(300);

} // namespace

Time
OwnerWaitInOutage(Time aOutageAge, Time aWait)
{
  return aOutageAge < kOutageAge ? aWait : Time();
}

} // namespace by
