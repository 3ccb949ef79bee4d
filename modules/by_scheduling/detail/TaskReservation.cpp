#include "by_scheduling/detail/TaskReservation.h"

#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"
#include "by_sharing/TeamShares.h"

namespace by {

namespace {

LaneRow&
LaneRowOf(Scheduler& aScheduler, Lane aLane)
{
  return aScheduler.mLanes[static_cast<std::size_t>(aLane)];
}

void
AddToLane(Scheduler& aScheduler, const RunningTask& aTask)
{
  auto& row = LaneRowOf(aScheduler, aTask.Lane());
  row = row.WithReserved(Plus(row.Reserved(), aTask.Resources())).WithRunning(row.Running() + 1);
}

void
RemoveFromLane(Scheduler& aScheduler, const RunningTask& aTask)
{
  auto& row = LaneRowOf(aScheduler, aTask.Lane());
  row = row.WithReserved(Minus(row.Reserved(), aTask.Resources())).WithRunning(row.Running() - 1);
}

void
EraseBorrowed(Scheduler& aScheduler, const RunningTask& aTask)
{
  const auto it = aScheduler.mBorrowed.find(aTask.Team());
  if (it == aScheduler.mBorrowed.end()) {
    return;
  }
  it->second.erase({ aTask.Started(), aTask.Task() });
  if (it->second.empty()) {
    aScheduler.mBorrowed.erase(it);
  }
}

void
EraseFromVm(Scheduler& aScheduler, const RunningTask& aTask)
{
  const auto it = aScheduler.mTasksByVm.find(aTask.Vm());
  it->second.erase(aTask.Task());
  if (it->second.empty()) {
    aScheduler.mTasksByVm.erase(it);
  }
}

void
ErasePreempted(Scheduler& aScheduler, const RunningTask& aTask)
{
  if (aScheduler.mPreempted.erase({ aTask.PreemptedAt(), aTask.Task() }) > 0) {
    aScheduler.mPreemptedResources = Minus(aScheduler.mPreemptedResources, aTask.Resources());
  }
}

} // namespace

void
ReserveResources(Scheduler& aScheduler, RunningTask aTask, Time aStragglerAt)
{
  CommitResources(aScheduler.mVms, aTask.Vm(), aTask.Resources(), aTask.SpreadGroup());
  AddUsage(aScheduler.mTeams, aTask.Team(), aTask.WorkClass(), aTask.Resources());
  AddToLane(aScheduler, aTask);
  aScheduler.mTasksByVm[aTask.Vm()].insert(aTask.Task());
  aScheduler.mStaleTeams.insert(aTask.Team());
  if (aTask.Lane() == Lane::Deferrable) {
    aScheduler.mBorrowed[aTask.Team()].emplace(aTask.Started(), aTask.Task());
  }
  if (aTask.Lane() == Lane::Short && aStragglerAt != Time::Never()) {
    aTask = aTask.WithStragglerAt(aStragglerAt);
    aScheduler.mStragglerAt.emplace(aStragglerAt, aTask.Task());
  }
  auto name = aTask.Task();
  aScheduler.mRunning.emplace(std::move(name), std::move(aTask));
}

void
ReserveForTask(Scheduler& aScheduler,
               const WorkItem& aItem,
               const Resources& aDemand,
               const VmId& aVm,
               Lane aLane,
               Time aNow)
{
  ReserveResources(aScheduler, RunningTaskFrom(aItem, aDemand, aVm, aLane, aNow), Time::Never());
}

RunningTask
RunningTaskFrom(const WorkItem& aItem,
                const Resources& aDemand,
                const VmId& aVm,
                Lane aLane,
                Time aNow)
{
  return RunningTask::Create({ .mTask = aItem.Task(),
                               .mTeam = aItem.Team(),
                               .mKind = aItem.Kind(),
                               .mVm = aVm,
                               .mResources = aDemand,
                               .mWorkClass = aItem.WorkClass(),
                               .mLane = aLane,
                               .mStarted = aNow,
                               .mSpreadGroup = aItem.SpreadGroup() })
    .value();
}

std::optional<RunningTask>
ReleaseTask(Scheduler& aScheduler, const TaskId& aTask)
{
  const auto it = aScheduler.mRunning.find(aTask);
  if (it == aScheduler.mRunning.end()) {
    return std::nullopt;
  }
  auto task = std::move(it->second);
  aScheduler.mRunning.erase(it);
  const auto vm = aScheduler.mVms.mRows.find(task.Vm());
  if (vm != aScheduler.mVms.mRows.end()) {
    aScheduler.mFreedRacks.insert(vm->second.Rack());
  }
  ReleaseResources(aScheduler.mVms, task.Vm(), task.Resources(), task.SpreadGroup());
  SubtractUsage(aScheduler.mTeams, task.Team(), task.WorkClass(), task.Resources());
  RemoveFromLane(aScheduler, task);
  EraseFromVm(aScheduler, task);
  EraseBorrowed(aScheduler, task);
  ErasePreempted(aScheduler, task);
  aScheduler.mStragglerAt.erase({ task.StragglerAt(), task.Task() });
  aScheduler.mStaleTeams.insert(task.Team());
  return task;
}

void
MarkPreempted(Scheduler& aScheduler, const TaskId& aTask, Time aNow)
{
  auto& row = aScheduler.mRunning.at(aTask);
  EraseBorrowed(aScheduler, row);
  ErasePreempted(aScheduler, row);
  row = row.WithPreemptedAt(aNow);
  aScheduler.mPreempted.emplace(aNow, aTask);
  aScheduler.mPreemptedResources = Plus(aScheduler.mPreemptedResources, row.Resources());
}

void
MoveStragglers(Scheduler& aScheduler, Time aNow)
{
  auto& byStragglerTime = aScheduler.mStragglerAt;
  while (!byStragglerTime.empty() && byStragglerTime.begin()->first <= aNow) {
    auto& row = aScheduler.mRunning.at(byStragglerTime.begin()->second);
    byStragglerTime.erase(byStragglerTime.begin());
    RemoveFromLane(aScheduler, row);
    row = row.WithLane(Lane::Long);
    AddToLane(aScheduler, row);
  }
}

} // namespace by
