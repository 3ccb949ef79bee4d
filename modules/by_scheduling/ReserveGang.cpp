#include "by_scheduling/ReserveGang.h"

#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

std::optional<std::vector<PlacedWork>>
ReserveGang(Scheduler& aScheduler,
            const SchedulingPolicy& aPolicy,
            const std::vector<WorkItem>& aTasks,
            Time aNow)
{
  const auto freedBefore = aScheduler.mFreedRacks;
  std::vector<PlacedWork> placed;
  UnplaceableDemands unplaceable;
  for (const auto& item : aTasks) {
    const bool known = aScheduler.mRunning.contains(item.Task());
    auto placedTask =
      known ? std::nullopt
            : StartWork(
                aScheduler, aPolicy, item, LaneOf(aScheduler, aPolicy, item), aNow, unplaceable);
    if (!placedTask) {
      for (const auto& work : placed) {
        ReleaseTask(aScheduler, work.Task());
      }
      aScheduler.mFreedRacks = freedBefore;
      return std::nullopt;
    }
    placed.push_back(std::move(*placedTask));
  }
  return placed;
}

} // namespace by
