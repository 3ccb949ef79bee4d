#include "by_scheduling/VmAuthority.h"

#include "by_admission/RunEstimates.h"
#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"
#include "by_scheduling/TaskEnds.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

/// Usage of younger tasks is not learned, because it is not yet representative.
constexpr Time kUsageWarmUp = Time::FromSeconds(2);

void
MarkAllTeamsStale(Scheduler& aScheduler)
{
  for (const auto& [team, row] : aScheduler.mTeams.mRows) {
    aScheduler.mStaleTeams.insert(team);
  }
}

/// @returns the processor and memory usage above the committed amounts.
Resources
ExcessOf(const VmRow& aRow, const Resources& aUsed)
{
  const auto excess = LargerOf(Minus(aUsed, aRow.Committed()), Resources());
  return Resources::Create({ .mCpuMillis = excess.CpuMillis(), .mMemoryMb = excess.MemoryMb() })
    .value();
}

void
UpdateUsageFrom(Scheduler& aScheduler, const TaskStatus& aStatus, Time aNow)
{
  const auto it = aScheduler.mRunning.find(aStatus.Task());
  if (it == aScheduler.mRunning.end() || aStatus.State() != TaskState::Running ||
      aNow - it->second.Started() < kUsageWarmUp) {
    return;
  }
  UpdateUsage(aScheduler.mRunEstimates,
              { it->second.Team(), it->second.Kind() },
              aStatus.Declared(),
              aStatus.Used());
}

} // namespace

void
PutVm(Scheduler& aScheduler, const VmDescription& aVm, Time)
{
  const auto it = aScheduler.mVms.mRows.find(aVm.Vm());
  const bool known = it != aScheduler.mVms.mRows.end();
  auto fields = known ? it->second.ToFields() : VmRow::Fields{};
  fields.mVm = aVm.Vm();
  fields.mRack = aVm.Rack();
  fields.mZone = aVm.Zone();
  fields.mCapacity = aVm.Capacity();
  fields.mConnections = aVm.Connections();
  fields.mLeaving = aVm.State() == VmState::Leaving;
  auto row = VmRow::Create(std::move(fields)).value();
  if (known && row == it->second) {
    return;
  }
  ReplaceVm(aScheduler.mVms, std::move(row));
  aScheduler.mFreedRacks.insert(aVm.Rack());
  MarkAllTeamsStale(aScheduler);
}

void
RemoveVm(Scheduler& aScheduler, const VmId& aVm)
{
  const auto tasks = aScheduler.mTasksByVm.find(aVm);
  if (tasks != aScheduler.mTasksByVm.end()) {
    const auto tasksOnVm = tasks->second;
    for (const auto& task : tasksOnVm) {
      ReleaseTask(aScheduler, task);
    }
  }
  EraseVm(aScheduler.mVms, aVm);
  MarkAllTeamsStale(aScheduler);
}

void
AdoptTask(Scheduler& aScheduler, const VmId& aVm, const TaskStatus& aStatus, const TeamId& aTeam)
{
  if (!aScheduler.mVms.mRows.contains(aVm) || aScheduler.mRunning.contains(aStatus.Task())) {
    return;
  }
  CancelWork(aScheduler, aStatus.Task());
  ReserveResources(
    aScheduler,
    RunningTask::Create({ .mTask = aStatus.Task(),
                          .mTeam = aTeam,
                          .mVm = aVm,
                          .mResources = EffectiveDemandOf(aStatus.Declared()),
                          .mWorkClass = aStatus.Detached() ? WorkClass::Batch : WorkClass::Request,
                          .mLane = Lane::Long })
      .value(),
    Time::Never());
}

void
ObserveUsage(Scheduler& aScheduler, const VmId& aVm, const LeaseGrant& aGrant, Time aNow)
{
  const auto it = aScheduler.mVms.mRows.find(aVm);
  if (it == aScheduler.mVms.mRows.end()) {
    return;
  }
  for (const auto& status : aGrant.Tasks()) {
    UpdateUsageFrom(aScheduler, status, aNow);
  }
  const auto excess = ExcessOf(it->second, aGrant.Used());
  if (excess != it->second.Excess()) {
    ReplaceVm(aScheduler.mVms, it->second.WithExcess(excess));
    aScheduler.mFreedRacks.insert(it->second.Rack());
  }
}

} // namespace by
