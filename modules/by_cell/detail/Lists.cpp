#include "by_cell/detail/Lists.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleStore.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

void
TakeEnds(CellState& aState,
         WorkerRow& aWorker,
         const WorkerReport& aLists,
         Time aNow,
         Effects& aOut)
{
  const auto before = aWorker.mEndSeen;
  for (const auto& end : aLists.Ended()) {
    if (end.Number() <= before) {
      continue;
    }
    aWorker.mEndSeen = std::max(aWorker.mEndSeen, end.Number());
    EndRun(aState, aWorker, { end.Task(), end.Run() }, end.End(), end.Checkpoint(), aNow, aOut);
  }
  if (aWorker.mEndSeen == before) {
    return;
  }
  if (HasUnstored(aState)) {
    aState.mNext.mEnds.push_back(
      { aWorker.mRegistration.Id(), aWorker.mLifeSince, aWorker.mEndSeen });
  } else {
    aWorker.mEndStored = aWorker.mEndSeen;
    LookBy(aState, aWorker, aNow + aState.mSettings.MinPollInterval());
  }
}

/// A run that nobody assigned to this worker, or one whose job has ended.
void
StopStray(CellState& aState,
          WorkerRow& aWorker,
          const RunningRun& aRunning,
          Time aNow,
          Effects& aOut)
{
  const RunId run{ aRunning.Task(), aRunning.Run() };
  Log(aOut,
      "run.stray",
      Named(run),
      absl::StrCat("worker=", aWorker.mRegistration.Id(), " decision=stop"));
  RunRow row;
  row.mPhase = RunPhase::Confirmed;
  row.mStopWanted = true;
  // What a run of a job that has ended takes is not known any more.
  row.mDemand = aWorker.mRegistration.Capacity();
  if (const auto* job = FindJob(aState, run.mTask.Job())) {
    if (run.mTask.Step() < job->mJob.Definition().Steps().size()) {
      row.mDemand = StepOf(*job, run.mTask.Step()).Demand();
    }
  }
  AddRun(aState, aWorker, run, std::move(row));
  SendStop(aState, aWorker, run, aNow, aOut);
}

void
TakeRunning(CellState& aState,
            WorkerRow& aWorker,
            const RunningRun& aRunning,
            Time aNow,
            Effects& aOut)
{
  const RunId run{ aRunning.Task(), aRunning.Run() };
  const auto it = aWorker.mRuns.find(run);
  if (it == aWorker.mRuns.end()) {
    StopStray(aState, aWorker, aRunning, aNow, aOut);
    return;
  }
  auto& row = it->second;
  ConfirmRun(aState, run, row, aNow);
  if (aRunning.Percent() != row.mPercent) {
    row.mPercent = aRunning.Percent();
    row.mProgressAt = aNow;
  }
  if (row.mStopWanted && !row.mStopOpen && row.mBarredAt == Time::Never()) {
    SendStop(aState, aWorker, run, aNow, aOut);
  }
}

/// @returns whether a run that the lists lack is over for certain.
bool
IsOver(const WorkerRow& aWorker, const RunRow& aRow)
{
  if (aRow.mPhase == RunPhase::Inherited) {
    // Orders of earlier owners are refused there from this look on.
    return true;
  }
  return aRow.mBarredAt < aWorker.mLookSent;
}

void
SettleUnlisted(CellState& aState,
               WorkerRow& aWorker,
               const std::set<RunId>& aListed,
               Time aNow,
               Effects& aOut)
{
  std::vector<RunId> over;
  std::vector<RunId> doubtful;
  for (const auto& [run, row] : aWorker.mRuns) {
    if (aListed.contains(run) || row.mPhase == RunPhase::Planned) {
      continue;
    }
    if (IsOver(aWorker, row)) {
      over.push_back(run);
    } else if (row.mPhase == RunPhase::Confirmed && row.mSince < aWorker.mLookSent &&
               !row.mStopWanted) {
      doubtful.push_back(run);
    }
  }
  for (const auto& run : over) {
    Log(aOut, "run.settled", Named(run), "reason=not listed and barred");
    const auto task = run.mTask;
    DropRun(aState, aWorker, run);
    const auto* row = FindTask(aState, task);
    if (row != nullptr && row->mProgress.Phase() == JobTaskPhase::Assigned &&
        row->mProgress.Run() == run.mRun) {
      Requeue(aState, task, aNow, aOut);
    }
  }
  for (const auto& run : doubtful) {
    Log(aOut, "run.missing", Named(run), "reason=confirmed but not listed");
    auto& row = aWorker.mRuns.at(run);
    row.mStopWanted = true;
    SendStop(aState, aWorker, run, aNow, aOut);
  }
}

} // namespace

void
TakeLists(CellState& aState,
          WorkerRow& aWorker,
          const WorkerReport& aLists,
          Time aNow,
          Effects& aOut)
{
  std::set<RunId> listed;
  for (const auto& running : aLists.Running()) {
    listed.insert({ running.Task(), running.Run() });
  }
  TakeEnds(aState, aWorker, aLists, aNow, aOut);
  for (const auto& running : aLists.Running()) {
    TakeRunning(aState, aWorker, running, aNow, aOut);
  }
  SettleUnlisted(aState, aWorker, listed, aNow, aOut);
}

} // namespace by::detail
