#include "by_scheduling/detail/TakeBack.h"

#include <iterator>
#include <optional>

#include "by_admission/QueueOrder.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmRoom.h"
#include "by_scheduling/detail/HoldRoom.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

/// A task that does not give way in this time is stopped.
constexpr Time kGrace = Time::FromSeconds(2);
/// Tasks of one team looked at for one that holds enough.
constexpr int kMostProbes = 16;
/// Tasks asked to give way in one step.
constexpr int kMostVictims = 32;

Preemption
Ask(Scheduler& aScheduler, const TaskId& aTask, TaskAction aAction, Time aNow)
{
  NoteGivingWay(aScheduler, aTask, aNow);
  return Preemption::Create(
           { .mTask = aTask, .mVm = aScheduler.mRunning.at(aTask).Vm(), .mAction = aAction })
    .value();
}

/// @returns the team furthest above its share among those whose tasks may give way.
std::optional<TeamId>
MostAboveShare(Scheduler& aScheduler)
{
  std::optional<TeamId> most;
  std::int64_t highest = -1;
  for (const auto& [team, tasks] : aScheduler.mLent) {
    const auto share = DominantShare(TeamOf(aScheduler.mTeams, team), aScheduler.mVms.mTotal);
    if (share > highest || (share == highest && team < *most)) {
      highest = share;
      most = team;
    }
  }
  return most;
}

/// @returns whether the item would fit where the task runs once that has gone.
bool
WouldFit(const Scheduler& aScheduler, const TaskId& aTask, const WorkItem& aItem)
{
  const auto& task = aScheduler.mRunning.at(aTask);
  const auto& vm = aScheduler.mVms.mRows.at(task.Vm());
  return (aItem.Rack().IsEmpty() || aItem.Rack() == vm.Rack()) && !vm.Leaving() &&
         Fits(TakenBy(aItem.Resources()), Plus(FreeOf(vm), task.Resources()));
}

/// @returns the newest of the team's tasks whose room would do; it loses least.
std::optional<TaskId>
VictimOf(const Scheduler& aScheduler, const TeamId& aTeam, const WorkItem& aItem)
{
  const auto& tasks = aScheduler.mLent.at(aTeam);
  int probes = 0;
  for (auto it = tasks.rbegin(); it != tasks.rend() && probes < kMostProbes; ++it, ++probes) {
    if (WouldFit(aScheduler, it->second, aItem)) {
      return it->second;
    }
  }
  return std::nullopt;
}

/// @returns the first task of the lane that waits for any VM.
const WorkItem*
FirstWaiting(Scheduler& aScheduler, Lane aLane)
{
  auto* lanes = PlaceOf(aScheduler.mQueue, RackId());
  if (lanes == nullptr) {
    return nullptr;
  }
  const auto& lane = (*lanes)[static_cast<std::size_t>(aLane)];
  if (lane.mTurns.empty()) {
    return nullptr;
  }
  return &aScheduler.mQueue.mRows.at(FirstOf(lane, lane.mTurns.begin()->mTeam)).Item();
}

/// @returns whether the room on its way back is less than what the lane's work waits for.
bool
NeedsMore(const Scheduler& aScheduler, const WorkItem& aFirst, std::int64_t aWaiting)
{
  const auto one = AmountsOf(TakenBy(aFirst.Resources()));
  const auto coming = AmountsOf(aScheduler.mGivingRoom);
  for (std::size_t i = 0; i < kResourceKinds; ++i) {
    if (one[i] * aWaiting > coming[i]) {
      return true;
    }
  }
  return false;
}

/// @returns the team's share as it would be with so much more or less.
std::int64_t
ShareWith(Scheduler& aScheduler, const TeamId& aTeam, const Resources& aChange)
{
  const auto& row = TeamOf(aScheduler.mTeams, aTeam);
  return DominantShare(row.WithUsed(Plus(row.Used(), aChange)), aScheduler.mVms.mTotal);
}

void
TakeBackForLane(Scheduler& aScheduler, Lane aLane, Time aNow, ScheduleOutcome& aOutcome)
{
  const auto waiting = aScheduler.mQueue.mWaiting[static_cast<std::size_t>(aLane)];
  const auto* first = FirstWaiting(aScheduler, aLane);
  if (first == nullptr ||
      ShareWith(aScheduler, first->Team(), Resources()) > MostForShortWork(aScheduler.mTeams)) {
    return;
  }
  for (int i = 0; i < kMostVictims && NeedsMore(aScheduler, *first, waiting); ++i) {
    const auto team = MostAboveShare(aScheduler);
    const auto victim = team ? VictimOf(aScheduler, *team, *first) : std::nullopt;
    if (!victim) {
      return;
    }
    aOutcome.mGivenWay.push_back(Ask(aScheduler, *victim, TaskAction::Checkpoint, aNow));
  }
}

/// Takes one task back for a team that stays below the other even after the exchange.
void
TakeBackForShare(Scheduler& aScheduler, Lane aLane, Time aNow, ScheduleOutcome& aOutcome)
{
  const auto* first = FirstWaiting(aScheduler, aLane);
  const auto team = first == nullptr ? std::nullopt : MostAboveShare(aScheduler);
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
    ShareWith(aScheduler, first->Team(), Plus(TakenBy(first->Resources()), aScheduler.mGivingRoom));
  if (gained <= left) {
    aOutcome.mGivenWay.push_back(Ask(aScheduler, *victim, TaskAction::Checkpoint, aNow));
  }
}

} // namespace

void
TakeBack(Scheduler& aScheduler,
         const SchedulingPolicy& aPolicy,
         Time aNow,
         ScheduleOutcome& aOutcome)
{
  if (!aPolicy.mTakesBack || aScheduler.mLent.empty()) {
    return;
  }
  TakeBackForLane(aScheduler, Lane::Urgent, aNow, aOutcome);
  TakeBackForLane(aScheduler, Lane::Short, aNow, aOutcome);
  TakeBackForShare(aScheduler, Lane::Long, aNow, aOutcome);
  TakeBackForShare(aScheduler, Lane::Deferrable, aNow, aOutcome);
}

void
StopLateOnes(Scheduler& aScheduler, Time aNow, ScheduleOutcome& aOutcome)
{
  while (!aScheduler.mGivingWay.empty() && aScheduler.mGivingWay.begin()->first + kGrace <= aNow) {
    const auto task = aScheduler.mGivingWay.begin()->second;
    aOutcome.mGivenWay.push_back(Ask(aScheduler, task, TaskAction::Stop, aNow));
  }
}

} // namespace by
