#include "by_intents/ObserveTasks.h"

#include "absl/container/flat_hash_set.h"

#include "by_intents/TaskNames.h"
#include "by_intents/detail/TrackedTasks.h"

namespace by {

namespace {

bool
IsEnd(TaskState aState)
{
  return aState != TaskState::Running;
}

/// @returns whether a start of the task was sent and its end is not known.
bool
MayRun(const TrackedTask& aTask)
{
  switch (aTask.mPhase) {
    case TaskPhase::Starting:
    case TaskPhase::Unanswered:
    case TaskPhase::Running:
    case TaskPhase::VmLost:
      return true;
    case TaskPhase::Offered:
    case TaskPhase::Reserved:
    case TaskPhase::Ended:
      break;
  }
  return false;
}

/// Tracks a task that a server reported and that this owner did not know.
void
TrackReportedTask(RackTasks& aTasks,
                  const TaskKey& aKey,
                  const VmId& aVm,
                  const RackId& aRack,
                  const TaskStatus& aStatus,
                  Time aNow)
{
  detail::TrackTask(aTasks,
                    aKey,
                    { .mGeneration = aStatus.Generation(),
                      .mRack = aRack,
                      .mPhase = TaskPhase::Running,
                      .mVm = aVm,
                      .mHoldsReservation = !IsEnd(aStatus.State()),
                      .mSince = aNow,
                      .mSeenRunningAt = aNow,
                      .mNotAfter = {},
                      .mEnd = {},
                      .mDetail = {},
                      .mReportedAt = {},
                      .mStoppedAt = {} });
  if (IsEnd(aStatus.State())) {
    detail::EndTrackedTask(aTasks, aKey, aStatus.State(), "", aNow);
  }
}

/// Resolves a task that is missing in the VM's complete inventory. An inventory that was requested
/// before the task was known to run, or while its start could still arrive, proves nothing about
/// it.
void
ResolveUnlisted(RackTasks& aTasks, const TaskKey& aKey, Time aSentAt, Time aClockDrift, Time aNow)
{
  const auto& task = aTasks.mTasks.at(aKey);
  if (!MayRun(task) || task.mSeenRunningAt >= aSentAt) {
    return;
  }
  if (task.mSeenRunningAt != Time()) {
    detail::EndTrackedTask(aTasks, aKey, TaskState::Lost, "its server no longer runs it", aNow);
  } else if (task.mNotAfter + aClockDrift < aSentAt) {
    detail::EndTrackedTask(aTasks,
                           aKey,
                           TaskState::Lost,
                           "its start was not answered and its server does not run it",
                           aNow);
  }
}

} // namespace

void
ObserveInventory(RackTasks& aTasks,
                 const VmId& aVm,
                 const RackId& aRack,
                 const std::vector<TaskStatus>& aInventory,
                 Time aSentAt,
                 Time aClockDrift,
                 Time aNow)
{
  absl::flat_hash_set<TaskKey> listed;
  for (const auto& status : aInventory) {
    const auto key = TaskKeyOf(status.Task());
    if (status.Detached() && key) {
      listed.insert(*key);
      ObserveTaskStatus(aTasks, aVm, aRack, status, aNow);
    }
  }
  const auto vmTasks = aTasks.mByVm.find(aVm);
  if (vmTasks == aTasks.mByVm.end()) {
    return;
  }
  const std::vector<TaskKey> known(vmTasks->second.begin(), vmTasks->second.end());
  for (const auto& key : known) {
    if (!listed.contains(key)) {
      ResolveUnlisted(aTasks, key, aSentAt, aClockDrift, aNow);
    }
  }
}

void
ObserveTaskStatus(RackTasks& aTasks,
                  const VmId& aVm,
                  const RackId& aRack,
                  const TaskStatus& aStatus,
                  Time aNow)
{
  const auto key = TaskKeyOf(aStatus.Task());
  if (!aStatus.Detached() || !key) {
    return;
  }
  const auto* task = detail::FindTrackedTask(aTasks, *key);
  if (task == nullptr || task->mGeneration < aStatus.Generation()) {
    TrackReportedTask(aTasks, *key, aVm, aRack, aStatus, aNow);
    return;
  }
  if (task->mGeneration > aStatus.Generation()) {
    if (IsEnd(aStatus.State())) {
      aTasks.mStaleEnds.push_back({ .mVm = aVm, .mTask = aStatus.Task() });
    }
    return;
  }
  if (task->mPhase == TaskPhase::Offered || task->mPhase == TaskPhase::Reserved) {
    aTasks.mSupersededOffers.push_back(aStatus.Task());
    TrackReportedTask(aTasks, *key, aVm, aRack, aStatus, aNow);
  } else if (MayRun(*task) && IsEnd(aStatus.State())) {
    detail::EndTrackedTask(aTasks, *key, aStatus.State(), "", aNow);
  } else if (MayRun(*task) && task->mPhase != TaskPhase::Running) {
    detail::SetPhase(aTasks, *key, TaskPhase::Running, aNow);
  }
}

bool
ObservePlaced(RackTasks& aTasks, const PlacedWork& aPlaced, Time aNow)
{
  const auto key = TaskKeyOf(aPlaced.Task());
  auto* task = key ? detail::FindTrackedTask(aTasks, *key) : nullptr;
  if (task == nullptr || task->mPhase != TaskPhase::Offered) {
    return false;
  }
  task->mHoldsReservation = true;
  detail::SetVm(aTasks, *key, aPlaced.Vm());
  detail::SetPhase(aTasks, *key, TaskPhase::Reserved, aNow);
  return true;
}

void
ObserveRefused(RackTasks& aTasks, const RefusedWork& aRefused, Time aNow)
{
  const auto key = TaskKeyOf(aRefused.Task());
  const auto* task = key ? detail::FindTrackedTask(aTasks, *key) : nullptr;
  if (task != nullptr && task->mPhase == TaskPhase::Offered) {
    detail::EndTrackedTask(aTasks, *key, TaskState::NotStarted, aRefused.Detail(), aNow);
  }
}

void
ObserveTaskResult(RackTasks& aTasks, const VmId& aVm, const TaskResult& aResult, Time aNow)
{
  const auto key = TaskKeyOf(aResult.Task());
  const auto* task = key ? detail::FindTrackedTask(aTasks, *key) : nullptr;
  if (task == nullptr || task->mGeneration != aResult.Generation() || task->mVm != aVm ||
      !MayRun(*task)) {
    return;
  }
  if (IsEnd(aResult.State())) {
    // A server that refuses a repeated start says nothing about the running task.
    if (aResult.State() != TaskState::NotStarted || task->mPhase != TaskPhase::Running) {
      detail::EndTrackedTask(aTasks, *key, aResult.State(), aResult.Detail(), aNow);
    }
  } else if (task->mPhase != TaskPhase::Running) {
    detail::SetPhase(aTasks, *key, TaskPhase::Running, aNow);
  }
}

void
ObserveUnanswered(RackTasks& aTasks,
                  const VmId& aVm,
                  const TaskId& aTask,
                  std::uint64_t aGeneration,
                  bool aMayHaveStarted,
                  const std::string& aDetail,
                  Time aNow)
{
  const auto key = TaskKeyOf(aTask);
  const auto* task = key ? detail::FindTrackedTask(aTasks, *key) : nullptr;
  if (task == nullptr || task->mGeneration != aGeneration || task->mVm != aVm ||
      task->mPhase != TaskPhase::Starting) {
    return;
  }
  if (aMayHaveStarted) {
    detail::SetPhase(aTasks, *key, TaskPhase::Unanswered, aNow);
  } else {
    detail::EndTrackedTask(aTasks, *key, TaskState::NotStarted, aDetail, aNow);
  }
}

void
ObserveVmLost(RackTasks& aTasks, const VmId& aVm, Time aLeaseEnd)
{
  const auto vmTasks = aTasks.mByVm.find(aVm);
  if (vmTasks == aTasks.mByVm.end()) {
    return;
  }
  const std::vector<TaskKey> known(vmTasks->second.begin(), vmTasks->second.end());
  for (const auto& key : known) {
    const auto& task = aTasks.mTasks.at(key);
    if (task.mPhase == TaskPhase::Reserved) {
      detail::EndTrackedTask(aTasks, key, TaskState::NotStarted, "its VM was lost", aLeaseEnd);
    } else if (MayRun(task) && task.mPhase != TaskPhase::VmLost) {
      detail::SetPhase(aTasks, key, TaskPhase::VmLost, aLeaseEnd);
    }
  }
}

} // namespace by
