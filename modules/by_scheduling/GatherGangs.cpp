#include "by_scheduling/GatherGangs.h"

#include <algorithm>
#include <limits>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmRoom.h"
#include "by_scheduling/ReserveGang.h"
#include "by_scheduling/detail/GangRoom.h"
#include "by_scheduling/detail/HoldRoom.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

/// Gangs looked at for the one whose team is furthest below its share.
constexpr int kMostGangs = 64;

void
PlaceWhole(Scheduler& aScheduler,
           std::uint64_t aSequence,
           std::vector<PlacedWork> aPlaced,
           ScheduleOutcome& aOutcome)
{
  UnqueueGang(aScheduler, aSequence);
  aOutcome.mPlaced.insert(aOutcome.mPlaced.end(), aPlaced.begin(), aPlaced.end());
}

/// @returns the gang, among the first few, whose team has its turn first.
std::uint64_t
NextGang(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, std::int64_t& aKey)
{
  std::uint64_t next = 0;
  int looks = 0;
  for (const auto& [sequence, gang] : aScheduler.mGangs) {
    const auto key = TurnKeyOf(aScheduler, aPolicy, gang.Tasks().front().Team());
    if (next == 0 || key < aKey) {
      next = sequence;
      aKey = key;
    }
    if (++looks == kMostGangs) {
      break;
    }
  }
  return next;
}

/// @returns the key of the first turn among long work; the highest where none waits.
std::int64_t
FirstLongKey(Scheduler& aScheduler)
{
  const auto* lanes = PlaceOf(aScheduler.mQueue, RackId());
  if (lanes == nullptr) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const auto& turns = (*lanes)[static_cast<std::size_t>(Lane::Long)].mTurns;
  return turns.empty() ? std::numeric_limits<std::int64_t>::max() : turns.begin()->mKey;
}

/// @returns how many such tasks an empty VM holds, one at least.
std::int64_t
TasksPerVm(const Scheduler& aScheduler, const Resources& aTaken)
{
  std::int64_t most = 1;
  const auto taken = AmountsOf(aTaken);
  for (const auto& [capacity, count] : aScheduler.mVms.mShapes) {
    const auto offered = AmountsOf(capacity);
    std::int64_t fitting = kNoLimit;
    for (std::size_t i = 0; i < kResourceKinds; ++i) {
      fitting = taken[i] == 0 ? fitting : std::min(fitting, offered[i] / taken[i]);
    }
    most = std::max(most, fitting);
  }
  return most;
}

std::vector<WorkItem>
TasksWithoutRoom(const Scheduler& aScheduler, const QueuedGang& aGang)
{
  std::vector<WorkItem> tasks;
  for (const auto& item : aGang.Tasks()) {
    if (!aScheduler.mRunning.contains(item.Task())) {
      tasks.push_back(item);
    }
  }
  return tasks;
}

void
BeginGathering(Scheduler& aScheduler, std::uint64_t aSequence, Time aNow)
{
  auto& gang = aScheduler.mGangs.at(aSequence);
  gang = gang.WithReservationDeadline(aNow + kGangHold);
  aScheduler.mGathering = aSequence;
  const auto each = TasksPerVm(aScheduler, TakenBy(gang.Tasks().front().Resources()));
  const auto tasks = static_cast<std::int64_t>(gang.Tasks().size());
  HoldVms(aScheduler, static_cast<std::size_t>((tasks + each - 1) / each));
}

/// Lets the gang give up and wait behind the others.
void
EndGathering(Scheduler& aScheduler)
{
  auto gang = UnqueueGang(aScheduler, aScheduler.mGathering);
  GiveGangRoomBack(aScheduler, gang);
  QueueGang(aScheduler, gang.Tasks());
}

/// Gives the gang's tasks the room that has come free on the VMs held for it.
void
TakeHeldRoom(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  auto tasks = TasksWithoutRoom(aScheduler, aScheduler.mGangs.at(aScheduler.mGathering));
  for (const auto& vm : aScheduler.mHeldVms) {
    while (!tasks.empty()) {
      const auto taken = aPolicy.mSizeOf(aScheduler.mLengths, tasks.back());
      const auto row = aScheduler.mVms.mRows.find(vm);
      if (row == aScheduler.mVms.mRows.end() || row->second.Leaving() ||
          !Fits(taken, FreeOf(row->second)) ||
          !QuotaAllows(
            TeamOf(aScheduler.mTeams, tasks.back().Team()), tasks.back().WorkClass(), taken)) {
        break;
      }
      HoldFor(aScheduler, tasks.back(), taken, vm, Lane::Long, aNow);
      tasks.pop_back();
    }
  }
}

/// Gives the gang's tasks room wherever else it has come free.
void
TakeFreeRoom(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  SizesWithoutRoom without;
  for (const auto& item :
       TasksWithoutRoom(aScheduler, aScheduler.mGangs.at(aScheduler.mGathering))) {
    if (!StartWork(aScheduler, aPolicy, item, Lane::Long, aNow, without)) {
      return;
    }
  }
}

/// Places the gathered gang if all its tasks have room.
void
FinishGathering(Scheduler& aScheduler, ScheduleOutcome& aOutcome)
{
  const auto sequence = aScheduler.mGathering;
  if (!TasksWithoutRoom(aScheduler, aScheduler.mGangs.at(sequence)).empty()) {
    return;
  }
  std::vector<PlacedWork> placed;
  for (const auto& item : aScheduler.mGangs.at(sequence).Tasks()) {
    const auto& vm = aScheduler.mRunning.at(item.Task()).Vm();
    placed.push_back(PlacedWork::Create({ .mTask = item.Task(), .mVm = vm }).value());
  }
  UnholdVms(aScheduler);
  aScheduler.mGathering = 0;
  PlaceWhole(aScheduler, sequence, std::move(placed), aOutcome);
}

} // namespace

bool
GatherGangs(Scheduler& aScheduler,
            const SchedulingPolicy& aPolicy,
            Time aNow,
            ScheduleOutcome& aOutcome)
{
  if (aScheduler.mGathering == 0 && !aScheduler.mGangs.empty()) {
    std::int64_t key = 0;
    const auto next = NextGang(aScheduler, aPolicy, key);
    if (key > FirstLongKey(aScheduler)) {
      return true;
    }
    auto whole = ReserveGang(aScheduler, aPolicy, aScheduler.mGangs.at(next).Tasks(), aNow);
    if (whole) {
      PlaceWhole(aScheduler, next, std::move(*whole), aOutcome);
      return true;
    }
    BeginGathering(aScheduler, next, aNow);
  }
  if (aScheduler.mGathering != 0) {
    TakeHeldRoom(aScheduler, aPolicy, aNow);
    TakeFreeRoom(aScheduler, aPolicy, aNow);
    FinishGathering(aScheduler, aOutcome);
  }
  if (aScheduler.mGathering != 0 &&
      aScheduler.mGangs.at(aScheduler.mGathering).ReservationDeadline() <= aNow) {
    EndGathering(aScheduler);
  }
  return true;
}

bool
FirstGangBlocks(Scheduler& aScheduler,
                const SchedulingPolicy& aPolicy,
                Time aNow,
                ScheduleOutcome& aOutcome)
{
  if (aScheduler.mGangs.empty()) {
    return true;
  }
  const auto sequence = aScheduler.mGangs.begin()->first;
  const auto* lanes = PlaceOf(aScheduler.mQueue, RackId());
  if (lanes != nullptr) {
    const auto& turns = (*lanes)[static_cast<std::size_t>(Lane::Short)].mTurns;
    if (!turns.empty() && turns.begin()->mSequence < sequence) {
      return true;
    }
  }
  auto whole = ReserveGang(aScheduler, aPolicy, aScheduler.mGangs.at(sequence).Tasks(), aNow);
  if (whole) {
    PlaceWhole(aScheduler, sequence, std::move(*whole), aOutcome);
  }
  return whole.has_value();
}

} // namespace by
