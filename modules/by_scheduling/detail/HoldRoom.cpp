#include "by_scheduling/detail/HoldRoom.h"

#include "by_placement/ResourceMath.h"
#include "by_placement/VmRoom.h"
#include "by_sharing/TeamShares.h"

namespace by {

namespace {

LaneRow&
LaneOf(Scheduler& aScheduler, Lane aLane)
{
  return aScheduler.mLanes[static_cast<std::size_t>(aLane)];
}

void
CountInLane(Scheduler& aScheduler, const RunningTask& aTask)
{
  auto& row = LaneOf(aScheduler, aTask.Lane());
  row = row.WithReserved(Plus(row.Reserved(), aTask.Resources())).WithRunning(row.Running() + 1);
}

void
CountOutOfLane(Scheduler& aScheduler, const RunningTask& aTask)
{
  auto& row = LaneOf(aScheduler, aTask.Lane());
  row = row.WithReserved(Minus(row.Reserved(), aTask.Resources())).WithRunning(row.Running() - 1);
}

void
EraseLent(Scheduler& aScheduler, const RunningTask& aTask)
{
  const auto it = aScheduler.mLent.find(aTask.Team());
  if (it == aScheduler.mLent.end()) {
    return;
  }
  it->second.erase({ aTask.Started(), aTask.Task() });
  if (it->second.empty()) {
    aScheduler.mLent.erase(it);
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
EraseGivingWay(Scheduler& aScheduler, const RunningTask& aTask)
{
  if (aScheduler.mGivingWay.erase({ aTask.PreemptedAt(), aTask.Task() }) > 0) {
    aScheduler.mGivingRoom = Minus(aScheduler.mGivingRoom, aTask.Resources());
  }
}

} // namespace

void
TakeRoom(Scheduler& aScheduler, RunningTask aTask, Time aStragglerAt)
{
  CommitRoom(aScheduler.mVms, aTask.Vm(), aTask.Resources(), aTask.SpreadGroup());
  CountTaken(aScheduler.mTeams, aTask.Team(), aTask.WorkClass(), aTask.Resources());
  CountInLane(aScheduler, aTask);
  aScheduler.mTasksByVm[aTask.Vm()].insert(aTask.Task());
  aScheduler.mStaleTeams.insert(aTask.Team());
  if (aTask.Lane() == Lane::Deferrable) {
    aScheduler.mLent[aTask.Team()].emplace(aTask.Started(), aTask.Task());
  }
  if (aTask.Lane() == Lane::Short && aStragglerAt != Time::Never()) {
    aTask = aTask.WithStragglerAt(aStragglerAt);
    aScheduler.mStragglerAt.emplace(aStragglerAt, aTask.Task());
  }
  auto name = aTask.Task();
  aScheduler.mRunning.emplace(std::move(name), std::move(aTask));
}

void
HoldFor(Scheduler& aScheduler,
        const WorkItem& aItem,
        const Resources& aTaken,
        const VmId& aVm,
        Lane aLane,
        Time aNow)
{
  TakeRoom(aScheduler, RunningTaskFrom(aItem, aTaken, aVm, aLane, aNow), Time::Never());
}

RunningTask
RunningTaskFrom(const WorkItem& aItem,
                const Resources& aTaken,
                const VmId& aVm,
                Lane aLane,
                Time aNow)
{
  return RunningTask::Create({ .mTask = aItem.Task(),
                               .mTeam = aItem.Team(),
                               .mKind = aItem.Kind(),
                               .mVm = aVm,
                               .mResources = aTaken,
                               .mWorkClass = aItem.WorkClass(),
                               .mLane = aLane,
                               .mStarted = aNow,
                               .mSpreadGroup = aItem.SpreadGroup() })
    .value();
}

std::optional<RunningTask>
LetGo(Scheduler& aScheduler, const TaskId& aTask)
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
  ReleaseRoom(aScheduler.mVms, task.Vm(), task.Resources(), task.SpreadGroup());
  CountReleased(aScheduler.mTeams, task.Team(), task.WorkClass(), task.Resources());
  CountOutOfLane(aScheduler, task);
  EraseFromVm(aScheduler, task);
  EraseLent(aScheduler, task);
  EraseGivingWay(aScheduler, task);
  aScheduler.mStragglerAt.erase({ task.StragglerAt(), task.Task() });
  aScheduler.mStaleTeams.insert(task.Team());
  return task;
}

void
NoteGivingWay(Scheduler& aScheduler, const TaskId& aTask, Time aNow)
{
  auto& row = aScheduler.mRunning.at(aTask);
  EraseLent(aScheduler, row);
  EraseGivingWay(aScheduler, row);
  row = row.WithPreemptedAt(aNow);
  aScheduler.mGivingWay.emplace(aNow, aTask);
  aScheduler.mGivingRoom = Plus(aScheduler.mGivingRoom, row.Resources());
}

void
MoveStragglers(Scheduler& aScheduler, Time aNow)
{
  auto& waiting = aScheduler.mStragglerAt;
  while (!waiting.empty() && waiting.begin()->first <= aNow) {
    auto& row = aScheduler.mRunning.at(waiting.begin()->second);
    waiting.erase(waiting.begin());
    CountOutOfLane(aScheduler, row);
    row = row.WithLane(Lane::Long);
    CountInLane(aScheduler, row);
  }
}

} // namespace by
