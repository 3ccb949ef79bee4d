#include "by_scheduling/TaskEnds.h"

#include "by_admission/QueueOrder.h"
#include "by_admission/RunEstimates.h"
#include "by_placement/VmHealth.h"
#include "by_scheduling/detail/GangReservation.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
/// A new sample has a weight of one over this in a lane's mean run time.
constexpr std::int64_t kAverageWindow = 64;

void
UpdateLaneMean(Scheduler& aScheduler, Lane aLane, Time aRan)
{
  auto& row = aScheduler.mLanes[static_cast<std::size_t>(aLane)];
  const auto ran = aRan.Milliseconds() * kMicrosPerMilli;
  const auto old = row.MeanMicros();
  row = row.WithMeanMicros(old == 0 ? ran : old + (ran - old) / kAverageWindow);
}

void
RecordEndOnVm(Scheduler& aScheduler, const RunningTask& aTask, bool aFailed, Time aNow)
{
  const KindKey kind{ aTask.Team(), aTask.Kind() };
  if (!aFailed) {
    RecordSuccess(aScheduler.mVms, aTask.Vm());
  } else if (!FailsEverywhere(aScheduler.mRunEstimates, kind)) {
    RecordFailure(aScheduler.mVms, aTask.Vm(), aNow);
  }
  UpdateFailureRate(aScheduler.mRunEstimates, kind, aFailed);
}

} // namespace

void
TaskEnded(Scheduler& aScheduler, const TaskId& aTask, TaskState aState, Time aRan, Time aNow)
{
  const auto task = ReleaseTask(aScheduler, aTask);
  if (!task) {
    return;
  }
  if (aState == TaskState::Succeeded) {
    UpdateRunTime(aScheduler.mRunEstimates, { task->Team(), task->Kind() }, aRan);
    UpdateLaneMean(aScheduler, task->Lane(), aRan);
  }
  if (aState == TaskState::Succeeded || aState == TaskState::Failed) {
    RecordEndOnVm(aScheduler, *task, aState == TaskState::Failed, aNow);
  }
}

bool
CancelWork(Scheduler& aScheduler, const TaskId& aTask)
{
  return Dequeue(aScheduler.mQueue, aTask).has_value() || RemoveGangOf(aScheduler, aTask);
}

} // namespace by
