#include "by_scheduling/DispatchWork.h"

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmHealth.h"
#include "by_scheduling/detail/GangReservation.h"
#include "by_scheduling/detail/Preemption.h"
#include "by_scheduling/detail/ScheduleLane.h"
#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TaskReservation.h"
#include "by_sharing/TeamShares.h"

namespace by {

namespace {

/// Ends expired quarantines and marks the racks of these VMs, so that work queued for them is
/// scheduled.
void
EndVmQuarantines(Scheduler& aScheduler, Time aNow)
{
  for (const auto& [until, vm] : aScheduler.mVms.mQuarantined) {
    if (until > aNow) {
      break;
    }
    aScheduler.mFreedRacks.insert(aScheduler.mVms.mRows.at(vm).Rack());
  }
  EndQuarantines(aScheduler.mVms, aNow);
}

void
RefuseExpiredTask(const TaskId& aTask, ScheduleOutcome& aOutcome)
{
  aOutcome.mRefused.push_back(
    RefusedWork::Create({ .mTask = aTask,
                          .mReason = Reason::MaxWaitExceeded,
                          .mDetail = "it could not start within its patience" })
      .value());
}

void
RefuseExpired(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome)
{
  auto& byStartBy = aScheduler.mQueue.mByStartBy;
  while (!byStartBy.empty() && byStartBy.begin()->first < aNow) {
    const auto task = byStartBy.begin()->second;
    const auto gang = aScheduler.mGangOf.find(task);
    if (gang == aScheduler.mGangOf.end()) {
      Dequeue(aScheduler.mQueue, task);
      RefuseExpiredTask(task, aOutcome);
      continue;
    }
    for (const auto& member : aScheduler.mGangs.at(gang->second).Tasks()) {
      RefuseExpiredTask(member.Task(), aOutcome);
    }
    RemoveGangOf(aScheduler, task);
  }
}

/// The parameters of one scheduling round over all lanes.
struct ScheduleRound
{
  absl::btree_set<RackId> mRacks;
  Time mNow;
};

void
ScheduleLaneOnRacks(Scheduler& aScheduler,
                    const SchedulingPolicy& aPolicy,
                    const ScheduleRound& aRound,
                    Lane aLane,
                    std::int64_t aMaxKey,
                    ScheduleOutcome& aOutcome)
{
  if (aScheduler.mQueue.mWaiting[static_cast<std::size_t>(aLane)] == 0) {
    return;
  }
  for (const auto& rack : aRound.mRacks) {
    ScheduleLane(aScheduler, aPolicy, rack, aLane, aMaxKey, aRound.mNow, aOutcome);
  }
  ScheduleLane(aScheduler, aPolicy, RackId(), aLane, aMaxKey, aRound.mNow, aOutcome);
}

/// Schedules teams below their entitled share first: long and deferrable work up to this share,
/// urgent and short work up to a higher limit. The remaining capacity is scheduled by lane alone.
void
ScheduleLanes(Scheduler& aScheduler,
              const SchedulingPolicy& aPolicy,
              Time aNow,
              ScheduleOutcome& aOutcome)
{
  const ScheduleRound round{ .mRacks = std::move(aScheduler.mFreedRacks), .mNow = aNow };
  aScheduler.mFreedRacks.clear();
  const auto entitled = EntitledShare(aScheduler.mTeams);
  const auto shortWorkLimit = ShortWorkShareLimit(aScheduler.mTeams);
  ScheduleLaneOnRacks(aScheduler, aPolicy, round, Lane::Urgent, shortWorkLimit, aOutcome);
  ScheduleLaneOnRacks(aScheduler, aPolicy, round, Lane::Short, shortWorkLimit, aOutcome);
  if (!aPolicy.mScheduleGangs(aScheduler, aPolicy, aNow, aOutcome)) {
    return;
  }
  ScheduleLaneOnRacks(aScheduler, aPolicy, round, Lane::Long, entitled, aOutcome);
  ScheduleLaneOnRacks(aScheduler, aPolicy, round, Lane::Deferrable, entitled, aOutcome);
  for (std::size_t i = 0; i < kLanes; ++i) {
    ScheduleLaneOnRacks(aScheduler, aPolicy, round, static_cast<Lane>(i), kNoLimit, aOutcome);
  }
}

} // namespace

ScheduleOutcome
Dispatch(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  ScheduleOutcome outcome;
  EndVmQuarantines(aScheduler, aNow);
  MoveStragglers(aScheduler, aNow);
  RefuseExpired(aScheduler, aNow, outcome);
  if (!aScheduler.mFreedRacks.empty()) {
    RefreshSchedulingOrder(aScheduler, aPolicy);
    ScheduleLanes(aScheduler, aPolicy, aNow, outcome);
  }
  PreemptDeferrable(aScheduler, aPolicy, aNow, outcome);
  StopOverduePreemptions(aScheduler, aNow, outcome);
  return outcome;
}

} // namespace by
