#include "by_scheduling/detail/StartWork.h"

#include <algorithm>
#include <cmath>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

constexpr std::int64_t kWholePercent = 100;

bool
IsWithinPercent(std::int64_t aHeld,
                std::int64_t aDemand,
                std::int64_t aTotal,
                std::int64_t aPercent)
{
  return (aHeld + aDemand) * kWholePercent <= aTotal * aPercent;
}

/// @returns whether long work leaves the reserved percentage of processors, memory and slots to
/// short work. One long task may always run.
bool
LeavesReserve(const Scheduler& aScheduler,
              const SchedulingPolicy& aPolicy,
              Lane aLane,
              const Resources& aDemand)
{
  const auto& lane = aScheduler.mLanes[static_cast<std::size_t>(Lane::Long)];
  if (aLane != Lane::Long || lane.Running() == 0 || aPolicy.mShortReservePercent == 0) {
    return true;
  }
  const auto percent = kWholePercent - aPolicy.mShortReservePercent;
  const auto& held = lane.Reserved();
  const auto& total = aScheduler.mVms.mTotal;
  return IsWithinPercent(held.CpuMillis(), aDemand.CpuMillis(), total.CpuMillis(), percent) &&
         IsWithinPercent(held.MemoryMb(), aDemand.MemoryMb(), total.MemoryMb(), percent) &&
         IsWithinPercent(held.Slots(), aDemand.Slots(), total.Slots(), percent);
}

/// @returns the resources that short and urgent work may need before borrowed capacity can be
/// preempted: three standard deviations of the number of its running tasks, if that number is
/// Poisson-distributed.
Resources
HeadroomOf(const Scheduler& aScheduler)
{
  constexpr std::int64_t kDeviations = 3;
  constexpr std::int64_t kWholePermille = 1000;
  const auto& urgent = aScheduler.mLanes[static_cast<std::size_t>(Lane::Urgent)];
  const auto& shortLane = aScheduler.mLanes[static_cast<std::size_t>(Lane::Short)];
  const auto running = urgent.Running() + shortLane.Running();
  if (running == 0) {
    return {};
  }
  const auto part = static_cast<std::int64_t>(static_cast<double>(kDeviations * kWholePermille) /
                                              std::sqrt(static_cast<double>(running)));
  return Permille(Plus(urgent.Reserved(), shortLane.Reserved()), part);
}

/// @returns whether deferrable work leaves the headroom free.
bool
LeavesHeadroom(const Scheduler& aScheduler,
               const SchedulingPolicy& aPolicy,
               Lane aLane,
               const Resources& aDemand)
{
  if (aLane != Lane::Deferrable || !aPolicy.mPreemptionEnabled) {
    return true;
  }
  const auto& vms = aScheduler.mVms;
  return Fits(Plus(aDemand, HeadroomOf(aScheduler)), Minus(vms.mTotal, vms.mCommitted));
}

bool
IsUnplaceable(const UnplaceableDemands& aUnplaceable, const Resources& aDemand)
{
  return std::any_of(aUnplaceable.begin(), aUnplaceable.end(), [&](const Resources& aKnown) {
    return Fits(aKnown, aDemand);
  });
}

std::optional<VmId>
SearchVm(const Scheduler& aScheduler,
         const SchedulingPolicy& aPolicy,
         const WorkItem& aItem,
         const Resources& aDemand,
         UnplaceableDemands& aUnplaceable)
{
  if (IsUnplaceable(aUnplaceable, aDemand)) {
    return std::nullopt;
  }
  auto vm = aPolicy.mFindVm(
    aScheduler.mVms,
    { .mDemand = aDemand, .mRack = aItem.Rack(), .mSpreadGroup = aItem.SpreadGroup() });
  if (!vm) {
    aUnplaceable.push_back(aDemand);
  }
  return vm;
}

} // namespace

Lane
LaneOf(const Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem)
{
  return aPolicy.mChooseLane(
    aItem, aPolicy.mEstimateRunTime(aScheduler.mRunEstimates, aItem), aPolicy.mShortLimit);
}

std::optional<PlacedWork>
StartWork(Scheduler& aScheduler,
          const SchedulingPolicy& aPolicy,
          const WorkItem& aItem,
          Lane aLane,
          Time aNow,
          UnplaceableDemands& aUnplaceable)
{
  const auto demand = aPolicy.mEstimateDemand(aScheduler.mRunEstimates, aItem);
  if (!QuotaAllows(TeamOf(aScheduler.mTeams, aItem.Team()), aItem.WorkClass(), demand) ||
      !LeavesReserve(aScheduler, aPolicy, aLane, demand) ||
      !LeavesHeadroom(aScheduler, aPolicy, aLane, demand)) {
    return std::nullopt;
  }
  const auto vm = SearchVm(aScheduler, aPolicy, aItem, demand, aUnplaceable);
  if (!vm) {
    return std::nullopt;
  }
  ReserveResources(aScheduler,
                   RunningTaskFrom(aItem, demand, *vm, aLane, aNow),
                   aNow + StragglerAfter(aScheduler.mRunEstimates, aItem, aPolicy.mShortLimit));
  return PlacedWork::Create({ .mTask = aItem.Task(), .mVm = *vm }).value();
}

Time
StartByOf(const WorkItem& aItem)
{
  return aItem.StartBy() == Time() ? Time::Never() : aItem.StartBy();
}

void
RefreshSchedulingOrder(Scheduler& aScheduler, const SchedulingPolicy& aPolicy)
{
  auto* lanes = FindLanes(aScheduler.mQueue, RackId());
  if (lanes != nullptr) {
    for (const auto& team : aScheduler.mStaleTeams) {
      const auto key = SchedulingKeyOf(aScheduler, aPolicy, team);
      for (auto& lane : *lanes) {
        Reposition(lane, team, key);
      }
    }
  }
  aScheduler.mStaleTeams.clear();
}

std::int64_t
SchedulingKeyOf(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const TeamId& aTeam)
{
  return aPolicy.mSchedulingKey(TeamOf(aScheduler.mTeams, aTeam), aScheduler.mVms.mTotal);
}

} // namespace by
