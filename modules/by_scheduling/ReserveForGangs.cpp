#include "by_scheduling/ReserveForGangs.h"

#include <algorithm>
#include <limits>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"
#include "by_scheduling/ReserveGang.h"
#include "by_scheduling/detail/GangReservation.h"
#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

/// Maximum number of gangs that are compared to find the one whose team has the lowest scheduling
/// key.
constexpr int kMaxScannedGangs = 64;

/// Dequeues a gang whose tasks all have resources, and reports them as placed.
void
DequeuePlacedGang(Scheduler& aScheduler,
                  std::uint64_t aSequence,
                  std::vector<PlacedWork> aPlaced,
                  ScheduleOutcome& aOutcome)
{
  DequeueGang(aScheduler, aSequence);
  aOutcome.mPlaced.insert(aOutcome.mPlaced.end(), aPlaced.begin(), aPlaced.end());
}

/// @returns the gang with the lowest scheduling key among the first kMaxScannedGangs.
std::uint64_t
NextGang(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, std::int64_t& aKey)
{
  std::uint64_t next = 0;
  int scanned = 0;
  for (const auto& [sequence, gang] : aScheduler.mGangs) {
    const auto key = SchedulingKeyOf(aScheduler, aPolicy, gang.Tasks().front().Team());
    if (next == 0 || key < aKey) {
      next = sequence;
      aKey = key;
    }
    if (++scanned == kMaxScannedGangs) {
      break;
    }
  }
  return next;
}

/// @returns the lowest scheduling key of queued long work; the maximum value if none is queued.
std::int64_t
FirstLongSchedulingKey(Scheduler& aScheduler)
{
  const auto* lanes = FindLanes(aScheduler.mQueue, RackId());
  if (lanes == nullptr) {
    return std::numeric_limits<std::int64_t>::max();
  }
  const auto& positions = (*lanes)[static_cast<std::size_t>(Lane::Long)].mPositions;
  return positions.empty() ? std::numeric_limits<std::int64_t>::max() : positions.begin()->mKey;
}

/// @returns how many such tasks an empty VM can hold, at least one.
std::int64_t
TasksPerVm(const Scheduler& aScheduler, const Resources& aDemand)
{
  std::int64_t most = 1;
  const auto demand = AmountsOf(aDemand);
  for (const auto& [capacity, count] : aScheduler.mVms.mShapes) {
    const auto offered = AmountsOf(capacity);
    std::int64_t fitting = kNoLimit;
    for (std::size_t i = 0; i < kResourceKinds; ++i) {
      fitting = demand[i] == 0 ? fitting : std::min(fitting, offered[i] / demand[i]);
    }
    most = std::max(most, fitting);
  }
  return most;
}

std::vector<WorkItem>
UnreservedTasks(const Scheduler& aScheduler, const QueuedGang& aGang)
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
BeginGangReservation(Scheduler& aScheduler, std::uint64_t aSequence, Time aNow)
{
  auto& gang = aScheduler.mGangs.at(aSequence);
  gang = gang.WithReservationDeadline(aNow + kGangReservationTimeout);
  aScheduler.mReservingGang = aSequence;
  const auto tasksPerVm =
    TasksPerVm(aScheduler, EffectiveDemandOf(gang.Tasks().front().Resources()));
  const auto tasks = static_cast<std::int64_t>(gang.Tasks().size());
  ReserveVms(aScheduler, static_cast<std::size_t>((tasks + tasksPerVm - 1) / tasksPerVm));
}

/// Releases the resources of the reserving gang and moves it to the end of the queue.
void
AbandonGangReservation(Scheduler& aScheduler)
{
  auto gang = DequeueGang(aScheduler, aScheduler.mReservingGang);
  ReleaseGangResources(aScheduler, gang);
  EnqueueGang(aScheduler, gang.Tasks());
}

/// Reserves freed resources on the gang's reserved VMs for its tasks.
void
ReserveOnReservedVms(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  auto tasks = UnreservedTasks(aScheduler, aScheduler.mGangs.at(aScheduler.mReservingGang));
  for (const auto& vm : aScheduler.mReservedVms) {
    while (!tasks.empty()) {
      const auto demand = aPolicy.mEstimateDemand(aScheduler.mRunEstimates, tasks.back());
      const auto row = aScheduler.mVms.mRows.find(vm);
      if (row == aScheduler.mVms.mRows.end() || row->second.Leaving() ||
          !Fits(demand, FreeCapacityOf(row->second)) ||
          !QuotaAllows(
            TeamOf(aScheduler.mTeams, tasks.back().Team()), tasks.back().WorkClass(), demand)) {
        break;
      }
      ReserveForTask(aScheduler, tasks.back(), demand, vm, Lane::Long, aNow);
      tasks.pop_back();
    }
  }
}

/// Reserves free resources on any other VM for the gang's tasks.
void
ReserveOnOtherVms(Scheduler& aScheduler, const SchedulingPolicy& aPolicy, Time aNow)
{
  UnplaceableDemands unplaceable;
  for (const auto& item :
       UnreservedTasks(aScheduler, aScheduler.mGangs.at(aScheduler.mReservingGang))) {
    if (!StartWork(aScheduler, aPolicy, item, Lane::Long, aNow, unplaceable)) {
      return;
    }
  }
}

/// Places the gang if all its tasks have resources.
void
CompleteGangReservation(Scheduler& aScheduler, ScheduleOutcome& aOutcome)
{
  const auto sequence = aScheduler.mReservingGang;
  if (!UnreservedTasks(aScheduler, aScheduler.mGangs.at(sequence)).empty()) {
    return;
  }
  std::vector<PlacedWork> placed;
  for (const auto& item : aScheduler.mGangs.at(sequence).Tasks()) {
    const auto& vm = aScheduler.mRunning.at(item.Task()).Vm();
    placed.push_back(PlacedWork::Create({ .mTask = item.Task(), .mVm = vm }).value());
  }
  UnreserveVms(aScheduler);
  aScheduler.mReservingGang = 0;
  DequeuePlacedGang(aScheduler, sequence, std::move(placed), aOutcome);
}

} // namespace

bool
ReserveForGangs(Scheduler& aScheduler,
                const SchedulingPolicy& aPolicy,
                Time aNow,
                ScheduleOutcome& aOutcome)
{
  if (aScheduler.mReservingGang == 0 && !aScheduler.mGangs.empty()) {
    std::int64_t key = 0;
    const auto next = NextGang(aScheduler, aPolicy, key);
    if (key > FirstLongSchedulingKey(aScheduler)) {
      return true;
    }
    auto placements = ReserveGang(aScheduler, aPolicy, aScheduler.mGangs.at(next).Tasks(), aNow);
    if (placements) {
      DequeuePlacedGang(aScheduler, next, std::move(*placements), aOutcome);
      return true;
    }
    BeginGangReservation(aScheduler, next, aNow);
  }
  if (aScheduler.mReservingGang != 0) {
    ReserveOnReservedVms(aScheduler, aPolicy, aNow);
    ReserveOnOtherVms(aScheduler, aPolicy, aNow);
    CompleteGangReservation(aScheduler, aOutcome);
  }
  if (aScheduler.mReservingGang != 0 &&
      aScheduler.mGangs.at(aScheduler.mReservingGang).ReservationDeadline() <= aNow) {
    AbandonGangReservation(aScheduler);
  }
  return true;
}

bool
BlockOnFirstGang(Scheduler& aScheduler,
                 const SchedulingPolicy& aPolicy,
                 Time aNow,
                 ScheduleOutcome& aOutcome)
{
  if (aScheduler.mGangs.empty()) {
    return true;
  }
  const auto sequence = aScheduler.mGangs.begin()->first;
  const auto* lanes = FindLanes(aScheduler.mQueue, RackId());
  if (lanes != nullptr) {
    const auto& positions = (*lanes)[static_cast<std::size_t>(Lane::Short)].mPositions;
    if (!positions.empty() && positions.begin()->mSequence < sequence) {
      return true;
    }
  }
  auto placements = ReserveGang(aScheduler, aPolicy, aScheduler.mGangs.at(sequence).Tasks(), aNow);
  if (placements) {
    DequeuePlacedGang(aScheduler, sequence, std::move(*placements), aOutcome);
  }
  return placements.has_value();
}

} // namespace by
