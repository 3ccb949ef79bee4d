#include "by_scheduling/detail/Preemption.h"

#include <iterator>
#include <optional>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"
#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

/// A preempted task that has not released its resources after this time is stopped.
constexpr Time kPreemptionGrace = Time::FromSeconds(2);
/// Maximum number of one team's tasks that are examined as victims.
constexpr int kMaxScannedVictims = 16;
/// Maximum number of tasks that are preempted for a lane in one pass.
constexpr int kMaxVictims = 32;

Preemption
Preempt(Scheduler& aScheduler, const TaskId& aTask, TaskAction aAction, Time aNow)
{
  MarkPreempted(aScheduler, aTask, aNow);
  return Preemption::Create(
           { .mTask = aTask, .mVm = aScheduler.mRunning.at(aTask).Vm(), .mAction = aAction })
    .value();
}

/// @returns the team with the highest dominant share among those with preemptible tasks.
std::optional<TeamId>
TeamWithHighestShare(Scheduler& aScheduler)
{
  std::optional<TeamId> most;
  std::int64_t highest = -1;
  for (const auto& [team, tasks] : aScheduler.mBorrowed) {
    const auto share = DominantShare(TeamOf(aScheduler.mTeams, team), aScheduler.mVms.mTotal);
    if (share > highest || (share == highest && team < *most)) {
      highest = share;
      most = team;
    }
  }
  return most;
}

/// @returns whether the item would fit on the VM of a running task after that task has ended.
bool
WouldFit(const Scheduler& aScheduler, const TaskId& aTask, const WorkItem& aItem)
{
  const auto& task = aScheduler.mRunning.at(aTask);
  const auto& vm = aScheduler.mVms.mRows.at(task.Vm());
  return (aItem.Rack().IsEmpty() || aItem.Rack() == vm.Rack()) && !vm.Leaving() &&
         Fits(EffectiveDemandOf(aItem.Resources()), Plus(FreeCapacityOf(vm), task.Resources()));
}

/// @returns the newest of the team's tasks that would free enough resources; preempting it loses
/// the least work.
std::optional<TaskId>
VictimOf(const Scheduler& aScheduler, const TeamId& aTeam, const WorkItem& aItem)
{
  const auto& tasks = aScheduler.mBorrowed.at(aTeam);
  int scanned = 0;
  for (auto it = tasks.rbegin(); it != tasks.rend() && scanned < kMaxScannedVictims;
       ++it, ++scanned) {
    if (WouldFit(aScheduler, it->second, aItem)) {
      return it->second;
    }
  }
  return std::nullopt;
}

/// @returns the first task of the lane that may run on any rack.
const WorkItem*
FirstQueued(Scheduler& aScheduler, Lane aLane)
{
  auto* lanes = FindLanes(aScheduler.mQueue, RackId());
  if (lanes == nullptr) {
    return nullptr;
  }
  const auto& lane = (*lanes)[static_cast<std::size_t>(aLane)];
  if (lane.mPositions.empty()) {
    return nullptr;
  }
  return &aScheduler.mQueue.mRows.at(FirstTaskOf(lane, lane.mPositions.begin()->mTeam)).Item();
}

/// @returns whether preempted tasks will release less than the queued tasks of the lane need. All
/// of them are taken to need as much as the first.
bool
NeedsMoreResources(const Scheduler& aScheduler, const WorkItem& aFirst, std::int64_t aWaiting)
{
  const auto demand = AmountsOf(EffectiveDemandOf(aFirst.Resources()));
  const auto pending = AmountsOf(aScheduler.mPreemptedResources);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (demand[i] * aWaiting > pending[i]) {
      return true;
    }
  }
  return false;
}

/// @returns the team's dominant share after its usage changes by aChange.
std::int64_t
ShareWith(Scheduler& aScheduler, const TeamId& aTeam, const Resources& aChange)
{
  const auto& row = TeamOf(aScheduler.mTeams, aTeam);
  return DominantShare(row.WithUsed(Plus(row.Used(), aChange)), aScheduler.mVms.mTotal);
}

void
PreemptForLane(Scheduler& aScheduler, Lane aLane, Time aNow, ScheduleOutcome& aOutcome)
{
  const auto waiting = aScheduler.mQueue.mWaiting[static_cast<std::size_t>(aLane)];
  const auto* first = FirstQueued(aScheduler, aLane);
  if (first == nullptr ||
      ShareWith(aScheduler, first->Team(), Resources()) > ShortWorkShareLimit(aScheduler.mTeams)) {
    return;
  }
  for (int i = 0; i < kMaxVictims && NeedsMoreResources(aScheduler, *first, waiting); ++i) {
    const auto team = TeamWithHighestShare(aScheduler);
    const auto victim = team ? VictimOf(aScheduler, *team, *first) : std::nullopt;
    if (!victim) {
      return;
    }
    aOutcome.mPreemptions.push_back(Preempt(aScheduler, *victim, TaskAction::Checkpoint, aNow));
  }
}

/// Preempts one task of another team if, after the exchange, the team of the first queued task has
/// no higher share than that team. Resources that preempted tasks still hold are counted as used by
/// the team of the queued task.
void
PreemptForShare(Scheduler& aScheduler, Lane aLane, Time aNow, ScheduleOutcome& aOutcome)
{
  const auto* first = FirstQueued(aScheduler, aLane);
  const auto team = first == nullptr ? std::nullopt : TeamWithHighestShare(aScheduler);
  if (!team || *team == first->Team()) {
    return;
  }
  const auto victim = VictimOf(aScheduler, *team, *first);
  if (!victim) {
    return;
  }
  const auto held = aScheduler.mRunning.at(*victim).Resources();
  const auto left = ShareWith(aScheduler, *team, Minus(Resources(), held));
  const auto gained =
    ShareWith(aScheduler,
              first->Team(),
              Plus(EffectiveDemandOf(first->Resources()), aScheduler.mPreemptedResources));
  if (gained <= left) {
    aOutcome.mPreemptions.push_back(Preempt(aScheduler, *victim, TaskAction::Checkpoint, aNow));
  }
}

} // namespace

void
PreemptDeferrable(Scheduler& aScheduler,
                  const SchedulingPolicy& aPolicy,
                  Time aNow,
                  ScheduleOutcome& aOutcome)
{
  if (!aPolicy.mPreemptionEnabled || aScheduler.mBorrowed.empty()) {
    return;
  }
  PreemptForLane(aScheduler, Lane::Urgent, aNow, aOutcome);
  PreemptForLane(aScheduler, Lane::Short, aNow, aOutcome);
  PreemptForShare(aScheduler, Lane::Long, aNow, aOutcome);
  PreemptForShare(aScheduler, Lane::Deferrable, aNow, aOutcome);
}

void
StopOverduePreemptions(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome)
{
  while (!aScheduler.mPreempted.empty() &&
         aScheduler.mPreempted.begin()->first + kPreemptionGrace <= aNow) {
    const auto task = aScheduler.mPreempted.begin()->second;
    aOutcome.mPreemptions.push_back(Preempt(aScheduler, task, TaskAction::Stop, aNow));
  }
}

} // namespace by
