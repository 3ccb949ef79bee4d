#include "by_scheduling/EstimateWait.h"

#include <algorithm>

namespace by {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

/// How fast capacity becomes free for a lane: the number of running tasks whose capacity it can
/// use, and the mean run time of its own tasks.
struct LaneTurnover
{
  std::int64_t mRunning{ 0 };
  std::int64_t mMeanMicros{ 0 };
};

/// @returns whether tasks of lane aFrom free capacity that work of aLane can use. Urgent and short
/// work use each other's capacity and the capacity of preempted deferrable work.
bool
FreesCapacityFor(Lane aFrom, Lane aLane)
{
  if (aLane == Lane::Urgent || aLane == Lane::Short) {
    return aFrom != Lane::Long;
  }
  return aFrom == aLane;
}

LaneTurnover
TurnoverOf(const Scheduler& aScheduler, Lane aLane)
{
  const auto& own = aScheduler.mLanes[static_cast<std::size_t>(aLane)];
  LaneTurnover turnover{ .mMeanMicros = own.MeanMicros() };
  for (std::size_t i = 0; i < kLanes; ++i) {
    if (FreesCapacityFor(static_cast<Lane>(i), aLane)) {
      turnover.mRunning += aScheduler.mLanes[i].Running();
    }
  }
  return turnover;
}

std::int64_t
TasksAhead(const Scheduler& aScheduler, const WorkItem& aItem, Lane aLane)
{
  std::int64_t ahead = 1;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(aLane); ++i) {
    ahead += aScheduler.mQueue.mWaiting[i];
  }
  const auto queued = aScheduler.mQueue.mByTeam.find(aItem.Team());
  const auto own = queued == aScheduler.mQueue.mByTeam.end() ? 0 : queued->second;
  const auto row = aScheduler.mTeams.mRows.find(aItem.Team());
  const auto share = row == aScheduler.mTeams.mRows.end() ? 1 : row->second.Share();
  const auto shares = std::max(aScheduler.mTeams.mShareSum, share);
  return std::min(ahead, (own + 1) * shares / share);
}

} // namespace

Time
WaitByLane(const Scheduler& aScheduler, const WorkItem& aItem, Lane aLane)
{
  const auto turnover = TurnoverOf(aScheduler, aLane);
  if (turnover.mRunning == 0 || turnover.mMeanMicros == 0) {
    return Time();
  }
  const auto ahead = TasksAhead(aScheduler, aItem, aLane);
  return Time::FromMilliseconds(ahead * turnover.mMeanMicros / turnover.mRunning / kMicrosPerMilli);
}

Time
NoEstimate(const Scheduler&, const WorkItem&, Lane)
{
  return Time();
}

} // namespace by
