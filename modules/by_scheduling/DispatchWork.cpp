#include "by_scheduling/DispatchWork.h"

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmHealth.h"
#include "by_scheduling/detail/GangRoom.h"
#include "by_scheduling/detail/HoldRoom.h"
#include "by_scheduling/detail/PassOverLane.h"
#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TakeBack.h"
#include "by_sharing/TeamShares.h"

namespace by {

namespace {

/// Marks the racks of VMs that come back, so that work waiting for them gets a pass.
void
LetVmsBack(Scheduler& aScheduler, Time aNow)
{
  for (const auto& [until, vm] : aScheduler.mVms.mSetAside) {
    if (until > aNow) {
      break;
    }
    aScheduler.mFreedRacks.insert(aScheduler.mVms.mRows.at(vm).Rack());
  }
  LetBack(aScheduler.mVms, aNow);
}

void
RefuseLateTask(const TaskId& aTask, ScheduleOutcome& aOutcome)
{
  aOutcome.mRefused.push_back(
    RefusedWork::Create({ .mTask = aTask,
                          .mReason = Reason::MaxWaitExceeded,
                          .mDetail = "it could not start within its patience" })
      .value());
}

void
RefuseLate(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome)
{
  auto& waiting = aScheduler.mQueue.mByStartBy;
  while (!waiting.empty() && waiting.begin()->first < aNow) {
    const auto task = waiting.begin()->second;
    const auto gang = aScheduler.mGangOf.find(task);
    if (gang == aScheduler.mGangOf.end()) {
      Dequeue(aScheduler.mQueue, task);
      RefuseLateTask(task, aOutcome);
      continue;
    }
    for (const auto& member : aScheduler.mGangs.at(gang->second).Tasks()) {
      RefuseLateTask(member.Task(), aOutcome);
    }
    DropGangOf(aScheduler, task);
  }
}

/// What one round over the lanes needs to know.
struct LaneRound
{
  absl::btree_set<RackId> mRacks;
  Time mNow;
};

void
PassOverOne(Scheduler& aScheduler,
            const SchedulingPolicy& aPolicy,
            const LaneRound& aRound,
            Lane aLane,
            std::int64_t aLastKey,
            ScheduleOutcome& aOutcome)
{
  if (aScheduler.mQueue.mWaiting[static_cast<std::size_t>(aLane)] == 0) {
    return;
  }
  for (const auto& rack : aRound.mRacks) {
    PassOverLane(aScheduler, aPolicy, rack, aLane, aLastKey, aRound.mNow, aOutcome);
  }
  PassOverLane(aScheduler, aPolicy, RackId(), aLane, aLastKey, aRound.mNow, aOutcome);
}

/// Teams below their bought share go first: with urgent and short work also a little above it,
/// with long and deferrable work up to it. What they leave goes by lanes alone.
void
PassOverLanes(Scheduler& aScheduler,
              const SchedulingPolicy& aPolicy,
              Time aNow,
              ScheduleOutcome& aOutcome)
{
  const LaneRound round{ .mRacks = std::move(aScheduler.mFreedRacks), .mNow = aNow };
  aScheduler.mFreedRacks.clear();
  const auto bought = BoughtShare(aScheduler.mTeams);
  const auto above = MostForShortWork(aScheduler.mTeams);
  PassOverOne(aScheduler, aPolicy, round, Lane::Urgent, above, aOutcome);
  PassOverOne(aScheduler, aPolicy, round, Lane::Short, above, aOutcome);
  if (!aPolicy.mPassOverGangs(aScheduler, aPolicy, aNow, aOutcome)) {
    return;
  }
  PassOverOne(aScheduler, aPolicy, round, Lane::Long, bought, aOutcome);
  PassOverOne(aScheduler, aPolicy, round, Lane::Deferrable, bought, aOutcome);
  for (std::size_t i = 0; i < kLanes; ++i) {
    PassOverOne(aScheduler, aPolicy, round, static_cast<Lane>(i), kNoLimit, aOutcome);
  }
}

} // namespace

ScheduleOutcome
Dispatch(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  ScheduleOutcome outcome;
  LetVmsBack(aScheduler, aNow);
  MoveStragglers(aScheduler, aNow);
  RefuseLate(aScheduler, aNow, outcome);
  if (!aScheduler.mFreedRacks.empty()) {
    RenewTurns(aScheduler, aPolicy);
    PassOverLanes(aScheduler, aPolicy, aNow, outcome);
  }
  TakeBack(aScheduler, aPolicy, aNow, outcome);
  StopLateOnes(aScheduler, aNow, outcome);
  return outcome;
}

} // namespace by
