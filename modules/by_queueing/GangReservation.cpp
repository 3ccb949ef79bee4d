#include "by_queueing/GangReservation.h"

#include <algorithm>
#include <numeric>

namespace by {

namespace {

/// A task that has less time than this, or than half of its run, until its latest start is not kept
/// waiting for a gang: the capacity that is free then may be on a slower worker.
constexpr Time kUrgentMargin = Time::FromMilliseconds(1000);

/// The reservation exceeds the gang's need by one in this many tasks, since some runs end later
/// than expected.
constexpr std::size_t kSpareDivisor = 2;

} // namespace

std::vector<std::size_t>
ChooseReservedWorkers(std::span<const SlotForecast> aHosts, std::size_t aTasks)
{
  std::vector<std::size_t> order(aHosts.size());
  std::iota(order.begin(), order.end(), 0);
  // The workers with the most free capacity are reserved for the shortest time.
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return std::pair(aHosts[aLeft].mSlots, aHosts[aLeft].mSlotsSoon) >
           std::pair(aHosts[aRight].mSlots, aHosts[aRight].mSlotsSoon);
  });
  std::size_t slots = 0;
  for (std::size_t n = 0; n < order.size(); ++n) {
    slots += aHosts[order[n]].mSlotsSoon;
    if (slots >= aTasks + aTasks / kSpareDivisor) {
      order.resize(n + 1);
      break;
    }
  }
  return slots >= aTasks ? order : std::vector<std::size_t>();
}

bool
MayBackfill(Time aExpectedEnd, Time aLatestStart, Time aReservedUntil, Time aNow)
{
  const auto margin = std::max(kUrgentMargin, (aExpectedEnd - aNow) / 2);
  const bool isUrgent = aNow <= aLatestStart && aLatestStart < aNow + margin;
  return isUrgent || aExpectedEnd <= aReservedUntil;
}

} // namespace by
