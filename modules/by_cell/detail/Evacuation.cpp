#include "by_cell/detail/Evacuation.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/PollTimes.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// The progress that a long-running task reports once it serves.
constexpr std::uint32_t kServingPercent = 100;
/// How long before its worker leaves a run with checkpoints is stopped: a stop takes up to 0.9 s on
/// the known platforms, and the worker must still report the end.
constexpr Time kStopLeadTime = Time::FromMilliseconds(1200);

bool
IsServing(const CellState& aState, const JobTaskKey& aTask, const TaskRow& aRow)
{
  const auto worker = aState.mWorkers.find(aRow.mProgress.Worker());
  if (aRow.mProgress.Phase() != JobTaskPhase::Assigned || worker == aState.mWorkers.end() ||
      worker->second.mHealth != WorkerHealth::Reachable) {
    return false;
  }
  const auto run = worker->second.mRuns.find({ aTask, aRow.mProgress.Run() });
  return run != worker->second.mRuns.end() && run->second.mPhase == RunPhase::Confirmed &&
         !run->second.mStopRequested && run->second.mPercent >= kServingPercent;
}

/// @returns whether the step's disruption budget allows one more task to be stopped.
bool
MayDisrupt(CellState& aState, const JobRow& aJob, const JobTaskKey& aTask)
{
  const auto budget = StepOf(aJob, aTask.Step()).DisruptionBudget();
  if (budget == 0) {
    return true;
  }
  const auto& occurrence = aJob.mOccurrences.at(aTask.Occurrence());
  const auto& step = occurrence.mSteps[aTask.Step()];
  std::uint32_t unavailable = 0;
  for (std::uint32_t i = 0; i < step.mCount; ++i) {
    const bool isOther = i != aTask.Index();
    unavailable +=
      isOther && !IsServing(aState, aTask.WithIndex(i), occurrence.mTasks[step.mFirst + i]);
  }
  return unavailable < budget;
}

bool
ShouldMove(CellState& aState,
           const WorkerRow& aWorker,
           const RunId& aRun,
           const RunRow& aRow,
           Time aUntil,
           Time aNow)
{
  const auto* job = FindJob(aState, aRun.mTask.Job());
  if (job == nullptr || aRow.mPhase != RunPhase::Confirmed || aRow.mStopRequested) {
    return false;
  }
  const auto& step = StepOf(*job, aRun.mTask.Step());
  if (step.LongRunning()) {
    return MayDisrupt(aState, *job, aRun.mTask);
  }
  // A draining worker mostly stays beyond its announced time; only maintenance ends runs at a known
  // time.
  return aWorker.mEvacuating && step.Checkpointing() && aNow + kStopLeadTime >= aUntil &&
         ExpectedEnd(aWorker, aRow, aNow) > aUntil;
}

} // namespace

void
Evacuate(CellState& aState, WorkerRow& aWorker, Time aUntil, Time aNow, Effects& aOut)
{
  std::vector<RunId> runs;
  for (const auto& [run, row] : aWorker.mRuns) {
    runs.push_back(run);
  }
  for (const auto& run : runs) {
    const auto row = aWorker.mRuns.find(run);
    // Requeueing one member requeues its whole gang, so that a later run of the list may already be
    // stopping.
    if (row == aWorker.mRuns.end() ||
        !ShouldMove(aState, aWorker, run, row->second, aUntil, aNow)) {
      continue;
    }
    Log(aOut,
        "run.moved",
        FormatRunId(run),
        absl::StrCat("worker=",
                     aWorker.mRegistration.Id(),
                     " stays_ms=",
                     (aUntil - aNow).Milliseconds(),
                     " percent=",
                     row->second.mPercent));
    Requeue(aState, run.mTask, aNow, aOut);
  }
}

void
EvacuateDraining(CellState& aState, Time aNow, Effects& aOut)
{
  for (auto& [id, worker] : aState.mWorkers) {
    if (worker.mDrainsUntil != Time::Never() && worker.mHealth == WorkerHealth::Reachable) {
      Evacuate(aState, worker, worker.mDrainsUntil, aNow, aOut);
    }
  }
}

bool
HasProtectedRun(CellState& aState, const WorkerRow& aWorker)
{
  return std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
    const auto* job = FindJob(aState, aEntry.first.mTask.Job());
    return job != nullptr && StepOf(*job, aEntry.first.mTask.Step()).LongRunning() &&
           !MayDisrupt(aState, *job, aEntry.first.mTask);
  });
}

} // namespace by::detail
