#include "by_scheduling/detail/StartWork.h"

#include <algorithm>
#include <cmath>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/detail/HoldRoom.h"

namespace by {

namespace {

constexpr std::int64_t kWholePercent = 100;

bool
WithinPart(std::int64_t aHeld, std::int64_t aTaken, std::int64_t aTotal, std::int64_t aPercent)
{
  return (aHeld + aTaken) * kWholePercent <= aTotal * aPercent;
}

/// @returns whether long work leaves enough of processors, memory and slots to short work. One
/// long task may always run.
bool
LeavesReserve(const Scheduler& aScheduler,
              const SchedulingPolicy& aPolicy,
              Lane aLane,
              const Resources& aTaken)
{
  const auto& lane = aScheduler.mLanes[static_cast<std::size_t>(Lane::Long)];
  if (aLane != Lane::Long || lane.Running() == 0 || aPolicy.mShortReservePercent == 0) {
    return true;
  }
  const auto percent = kWholePercent - aPolicy.mShortReservePercent;
  const auto& held = lane.Reserved();
  const auto& total = aScheduler.mVms.mTotal;
  return WithinPart(held.CpuMillis(), aTaken.CpuMillis(), total.CpuMillis(), percent) &&
         WithinPart(held.MemoryMb(), aTaken.MemoryMb(), total.MemoryMb(), percent) &&
         WithinPart(held.Slots(), aTaken.Slots(), total.Slots(), percent);
}

/// @returns the room that short and urgent work may want before lent room could be taken back:
/// three standard deviations of the number of its tasks, if that number is random in time.
Resources
HeadroomOf(const Scheduler& aScheduler)
{
  constexpr std::int64_t kDeviations = 3;
  constexpr std::int64_t kWholePermille = 1000;
  const auto& urgent = aScheduler.mLanes[static_cast<std::size_t>(Lane::Urgent)];
  const auto& brief = aScheduler.mLanes[static_cast<std::size_t>(Lane::Short)];
  const auto running = urgent.Running() + brief.Running();
  if (running == 0) {
    return {};
  }
  const auto part = static_cast<std::int64_t>(static_cast<double>(kDeviations * kWholePermille) /
                                              std::sqrt(static_cast<double>(running)));
  return Permille(Plus(urgent.Reserved(), brief.Reserved()), part);
}

/// @returns whether deferrable work leaves the headroom free.
bool
LeavesHeadroom(const Scheduler& aScheduler,
               const SchedulingPolicy& aPolicy,
               Lane aLane,
               const Resources& aTaken)
{
  if (aLane != Lane::Deferrable || !aPolicy.mTakesBack) {
    return true;
  }
  const auto& vms = aScheduler.mVms;
  return Fits(Plus(aTaken, HeadroomOf(aScheduler)), Minus(vms.mTotal, vms.mCommitted));
}

bool
KnownWithoutRoom(const SizesWithoutRoom& aWithout, const Resources& aTaken)
{
  return std::any_of(
    aWithout.begin(), aWithout.end(), [&](const Resources& aSize) { return Fits(aSize, aTaken); });
}

std::optional<VmId>
SearchVm(const Scheduler& aScheduler,
         const SchedulingPolicy& aPolicy,
         const WorkItem& aItem,
         const Resources& aTaken,
         SizesWithoutRoom& aWithout)
{
  if (KnownWithoutRoom(aWithout, aTaken)) {
    return std::nullopt;
  }
  auto vm = aPolicy.mFindVm(
    aScheduler.mVms,
    { .mTaken = aTaken, .mRack = aItem.Rack(), .mSpreadGroup = aItem.SpreadGroup() });
  if (!vm) {
    aWithout.push_back(aTaken);
  }
  return vm;
}

} // namespace

Lane
LaneOf(const Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const WorkItem& aItem)
{
  return aPolicy.mChooseLane(
    aItem, aPolicy.mExpectLength(aScheduler.mLengths, aItem), aPolicy.mShortLimit);
}

std::optional<PlacedWork>
StartWork(Scheduler& aScheduler,
          const SchedulingPolicy& aPolicy,
          const WorkItem& aItem,
          Lane aLane,
          Time aNow,
          SizesWithoutRoom& aWithout)
{
  const auto taken = aPolicy.mSizeOf(aScheduler.mLengths, aItem);
  if (!QuotaAllows(TeamOf(aScheduler.mTeams, aItem.Team()), aItem.WorkClass(), taken) ||
      !LeavesReserve(aScheduler, aPolicy, aLane, taken) ||
      !LeavesHeadroom(aScheduler, aPolicy, aLane, taken)) {
    return std::nullopt;
  }
  const auto vm = SearchVm(aScheduler, aPolicy, aItem, taken, aWithout);
  if (!vm) {
    return std::nullopt;
  }
  TakeRoom(aScheduler,
           RunningTaskFrom(aItem, taken, *vm, aLane, aNow),
           aNow + StragglerAfter(aScheduler.mLengths, aItem, aPolicy.mShortLimit));
  return PlacedWork::Create({ .mTask = aItem.Task(), .mVm = *vm }).value();
}

Time
StartByOf(const WorkItem& aItem)
{
  return aItem.StartBy() == Time() ? Time::Never() : aItem.StartBy();
}

void
RenewTurns(Scheduler& aScheduler, const SchedulingPolicy& aPolicy)
{
  auto* lanes = PlaceOf(aScheduler.mQueue, RackId());
  if (lanes != nullptr) {
    for (const auto& team : aScheduler.mStaleTeams) {
      const auto key = TurnKeyOf(aScheduler, aPolicy, team);
      for (auto& lane : *lanes) {
        MoveTurn(lane, team, key);
      }
    }
  }
  aScheduler.mStaleTeams.clear();
}

std::int64_t
TurnKeyOf(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, const TeamId& aTeam)
{
  return aPolicy.mTurnKey(TeamOf(aScheduler.mTeams, aTeam), aScheduler.mVms.mTotal);
}

} // namespace by
