#include "by_scheduling/SubmitWork.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_admission/QueueOrder.h"
#include "by_placement/CanEverFit.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/detail/Preemption.h"
#include "by_scheduling/detail/ScheduleLane.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

RefusedWork
Refuse(const WorkItem& aItem, Reason aReason, std::string aDetail)
{
  return RefusedWork::Create(
           { .mTask = aItem.Task(), .mReason = aReason, .mDetail = std::move(aDetail) })
    .value();
}

bool
IsKnown(const Scheduler& aScheduler, const TaskId& aTask)
{
  return aScheduler.mRunning.contains(aTask) || aScheduler.mQueue.mRows.contains(aTask) ||
         aScheduler.mGangOf.contains(aTask);
}

/// @returns a refusal if the task is already known or could not run even on empty VMs.
std::optional<RefusedWork>
FindPermanentRefusal(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem)
{
  if (IsKnown(aScheduler, aItem.Task())) {
    return Refuse(aItem, Reason::Invalid, "the task is already queued or running");
  }
  const auto fit = CanEverFit(aScheduler.mVms, aItem.Rack(), aItem.Resources());
  if (!fit.mFits && !aScheduler.mVms.mRows.empty()) {
    return Refuse(aItem, Reason::NeverFits, Describe(fit));
  }
  const auto demand = aPolicy.mEstimateDemand(aScheduler.mRunEstimates, aItem);
  if (!QuotaCanEverAllow(TeamOf(aScheduler.mTeams, aItem.Team()), aItem.WorkClass(), demand)) {
    return Refuse(aItem, Reason::Quota, "the task alone takes more than the team's request quota");
  }
  return std::nullopt;
}

/// Each team may always queue its share of half the queue limit. It may queue more only while the
/// queue is less than half full, so that one team can't fill the queue and lock out the others.
bool
QueueIsFull(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem)
{
  const auto queued = static_cast<std::int64_t>(aScheduler.mQueue.mRows.size());
  if (queued >= aPolicy.mQueueLimit) {
    return true;
  }
  const auto half = aPolicy.mQueueLimit / 2;
  const auto share = TeamOf(aScheduler.mTeams, aItem.Team()).Share();
  const auto part = std::max<std::int64_t>(half * share / aScheduler.mTeams.mShareSum, 1);
  const auto it = aScheduler.mQueue.mByTeam.find(aItem.Team());
  const auto own = it == aScheduler.mQueue.mByTeam.end() ? 0 : it->second;
  return queued >= half && own >= part;
}

/// @returns a refusal if the queue is full for the team or the task could not start in time.
std::optional<RefusedWork>
FindQueueRefusal(Scheduler& aScheduler,
                 const SchedulingPolicy& aPolicy,
                 const WorkItem& aItem,
                 Lane aLane,
                 Time aNow)
{
  if (QueueIsFull(aScheduler, aPolicy, aItem)) {
    return Refuse(
      aItem, Reason::QueueFull, absl::StrCat(aScheduler.mQueue.mRows.size(), " tasks wait"));
  }
  const auto wait = aPolicy.mEstimateWait(aScheduler, aItem, aLane);
  const auto left = StartByOf(aItem) - aNow;
  if (left <= Time() || wait > left) {
    return Refuse(aItem,
                  Reason::MaxWaitExceeded,
                  absl::StrCat("would start in ",
                               wait.Milliseconds(),
                               " ms, its patience ends in ",
                               left.Milliseconds(),
                               " ms"));
  }
  return std::nullopt;
}

/// Queues the task. If a VM has capacity for it, schedules its lane at once, in the usual order of
/// the queued tasks.
void
EnqueueAndSchedule(Scheduler& aScheduler,
                   const SchedulingPolicy& aPolicy,
                   const WorkItem& aItem,
                   Lane aLane,
                   Time aNow,
                   ScheduleOutcome& aOutcome)
{
  RefreshSchedulingOrder(aScheduler, aPolicy);
  Enqueue(aScheduler.mQueue,
          aItem.WithStartBy(StartByOf(aItem)),
          aLane,
          SchedulingKeyOf(aScheduler, aPolicy, aItem.Team()));
  const auto vm =
    aPolicy.mFindVm(aScheduler.mVms,
                    { .mDemand = aPolicy.mEstimateDemand(aScheduler.mRunEstimates, aItem),
                      .mRack = aItem.Rack(),
                      .mSpreadGroup = aItem.SpreadGroup() });
  if (vm) {
    ScheduleLane(aScheduler, aPolicy, aItem.Rack(), aLane, kNoLimit, aNow, aOutcome);
  }
  if (aLane == Lane::Urgent || aLane == Lane::Short) {
    PreemptDeferrable(aScheduler, aPolicy, aNow, aOutcome);
  }
}

} // namespace

std::optional<PlacedWork>
TryPlace(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem, Time aNow)
{
  const auto lane = LaneOf(aScheduler, aPolicy, aItem);
  const auto* lanes = FindLanes(aScheduler.mQueue, aItem.Rack());
  const auto index = static_cast<std::size_t>(lane);
  if ((lanes != nullptr && (*lanes)[index].mCount > 0) || IsKnown(aScheduler, aItem.Task())) {
    return std::nullopt;
  }
  UnplaceableDemands unplaceable;
  return StartWork(aScheduler, aPolicy, aItem, lane, aNow, unplaceable);
}

ScheduleOutcome
SubmitWork(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem, Time aNow)
{
  ScheduleOutcome outcome;
  if (auto refused = FindPermanentRefusal(aScheduler, aPolicy, aItem)) {
    outcome.mRefused.push_back(std::move(*refused));
    return outcome;
  }
  if (auto placed = TryPlace(aScheduler, aPolicy, aItem, aNow)) {
    outcome.mPlaced.push_back(std::move(*placed));
    return outcome;
  }
  const auto lane = LaneOf(aScheduler, aPolicy, aItem);
  if (auto refused = FindQueueRefusal(aScheduler, aPolicy, aItem, lane, aNow)) {
    outcome.mRefused.push_back(std::move(*refused));
    return outcome;
  }
  EnqueueAndSchedule(aScheduler, aPolicy, aItem, lane, aNow, outcome);
  return outcome;
}

} // namespace by
