#include "by_scheduling/detail/ScheduleLane.h"

#include "by_admission/QueueOrder.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

LaneQueue*
LaneAt(Scheduler& aScheduler, const RackId& aRack, Lane aLane)
{
  auto* lanes = FindLanes(aScheduler.mQueue, aRack);
  return lanes == nullptr ? nullptr : &(*lanes)[static_cast<std::size_t>(aLane)];
}

/// Recomputes the positions of all teams in a lane of one rack. RefreshSchedulingOrder() leaves out
/// these lanes; they have few teams, so they are recomputed whenever they are scheduled.
void
RefreshAllPositions(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, LaneQueue& aLane)
{
  std::vector<TeamId> teams;
  for (const auto& [team, queue] : aLane.mTeams) {
    teams.push_back(team);
  }
  for (const auto& team : teams) {
    Reposition(aLane, team, SchedulingKeyOf(aScheduler, aPolicy, team));
  }
}

} // namespace

void
ScheduleLane(Scheduler& aScheduler,
             const SchedulingPolicy& aPolicy,
             const RackId& aRack,
             Lane aLane,
             std::int64_t aMaxKey,
             Time aNow,
             ScheduleOutcome& aOutcome)
{
  auto* lane = LaneAt(aScheduler, aRack, aLane);
  if (lane == nullptr || lane->mCount == 0) {
    return;
  }
  if (!aRack.IsEmpty()) {
    RefreshAllPositions(aScheduler, aPolicy, *lane);
  }
  UnplaceableDemands unplaceable;
  std::int64_t scanned = 0;
  auto it = lane->mPositions.begin();
  while (it != lane->mPositions.end() && it->mKey <= aMaxKey &&
         scanned < aPolicy.mMaxScannedTeams &&
         static_cast<std::int64_t>(unplaceable.size()) < aPolicy.mMaxFailedSearches &&
         !aScheduler.mVms.mAvailable.empty()) {
    const auto position = *it;
    const auto item = aScheduler.mQueue.mRows.at(FirstTaskOf(*lane, position.mTeam)).Item();
    auto placed = StartWork(aScheduler, aPolicy, item, aLane, aNow, unplaceable);
    if (!placed) {
      ++scanned;
      ++it;
      continue;
    }
    aOutcome.mPlaced.push_back(std::move(*placed));
    Dequeue(aScheduler.mQueue, item.Task());
    lane = LaneAt(aScheduler, aRack, aLane);
    if (lane == nullptr) {
      return;
    }
    Reposition(*lane, position.mTeam, SchedulingKeyOf(aScheduler, aPolicy, position.mTeam));
    it = lane->mPositions.upper_bound(position);
  }
}

} // namespace by
