#include "by_cell/detail/WorkerReports.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleStore.h"
#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/SuspectedTasks.h"
#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// Notes up to which report all ends are known by a further report. None is missing if the worker
/// has no unacknowledged end. Otherwise all ends before an end that it lists are known, and so are
/// all from before a report by which that run was still alive.
void
UpdateKnownEnds(WorkerRow& aWorker, const WorkerReport& aReport)
{
  ++aWorker.mReports;
  auto& known = aWorker.mEndsKnownUntilReport;
  if (aReport.Ended().empty()) {
    known = aWorker.mReports;
    return;
  }
  for (const auto& end : aReport.Ended()) {
    const auto it = aWorker.mRuns.find({ end.Task(), end.Run() });
    if (end.Number() > aWorker.mLastEndSeen && it != aWorker.mRuns.end()) {
      known = std::max(known, it->second.mAliveInReport);
    }
  }
}

void
ApplyEnds(CellState& aState,
          WorkerRow& aWorker,
          const WorkerReport& aReport,
          Time aNow,
          Effects& aOut)
{
  const auto before = aWorker.mLastEndSeen;
  for (const auto& end : aReport.Ended()) {
    if (end.Number() <= before) {
      continue;
    }
    aWorker.mLastEndSeen = std::max(aWorker.mLastEndSeen, end.Number());
    const RunId run{ end.Task(), end.Run() };
    DropLapse(aState, run);
    const bool isBroken = end.End() == RunEnd::GangBroken;
    if (isBroken) {
      AddBrokenTrial(aState, aWorker, run, aNow);
    }
    EndRun(aState, aWorker, run, end.End(), end.Checkpoint(), aNow, aOut);
    if (isBroken) {
      GiveUpIfHopeless(aState, run.mTask, aNow, aOut);
    }
  }
  if (aWorker.mLastEndSeen == before) {
    return;
  }
  if (HasUnstored(aState)) {
    aState.mNextBatch.mEnds.push_back(
      { aWorker.mRegistration.Id(), aWorker.mProcessStart, aWorker.mLastEndSeen });
  } else {
    aWorker.mLastEndStored = aWorker.mLastEndSeen;
    SchedulePoll(aState, aWorker, aNow + aState.mSettings.MinPollInterval());
  }
}

/// Stops a run that was not assigned to this worker, or whose job has ended.
void
StopOrphanRun(CellState& aState,
              WorkerRow& aWorker,
              const RunningRun& aRunning,
              Time aNow,
              Effects& aOut)
{
  const RunId run{ aRunning.Task(), aRunning.Run() };
  Log(aOut,
      "run.stray",
      FormatRunId(run),
      absl::StrCat("worker=", aWorker.mRegistration.Id(), " decision=stop"));
  RunRow row;
  row.mPhase = RunPhase::Confirmed;
  row.mStopRequested = true;
  // The demand of a run whose job has ended is no longer known.
  const auto* job = FindJob(aState, run.mTask.Job());
  row.mIsDemandUnknown =
    job == nullptr || run.mTask.Step() >= job->mJob.Definition().Steps().size();
  if (!row.mIsDemandUnknown) {
    row.mDemand = StepOf(*job, run.mTask.Step()).Demand();
    row.mIsGangMember = StepOf(*job, run.mTask.Step()).Gang();
  }
  row.mAliveInReport = aWorker.mReports;
  AddRun(aState, aWorker, run, std::move(row));
  if (FindTask(aState, run.mTask) != nullptr) {
    // A gang is placed as a whole only without live runs.
    RefreshStep(
      aState, *FindJob(aState, run.mTask.Job()), run.mTask.Occurrence(), run.mTask.Step());
  }
  SendStop(aState, aWorker, run, aNow, aOut);
}

void
ApplyRunning(CellState& aState,
             WorkerRow& aWorker,
             const RunningRun& aRunning,
             Time aNow,
             Effects& aOut)
{
  const RunId run{ aRunning.Task(), aRunning.Run() };
  const auto it = aWorker.mRuns.find(run);
  if (it == aWorker.mRuns.end()) {
    StopOrphanRun(aState, aWorker, aRunning, aNow, aOut);
    return;
  }
  auto& row = it->second;
  row.mAliveInReport = aWorker.mReports;
  row.mUnlistedSinceReport = 0;
  ConfirmRun(aState, run, row, aNow);
  if (aRunning.Percent() != row.mPercent) {
    row.mPercent = aRunning.Percent();
    row.mProgressAt = aNow;
  }
  NoteSurvival(aState, aWorker, run, row, aOut);
  EndProbationIfOver(aState, aWorker, run, row, aNow, aOut);
  if (row.mStopRequested && !row.mStopInFlight && row.mStopConfirmedAt == Time::Never()) {
    SendStop(aState, aWorker, run, aNow, aOut);
  }
}

/// @returns whether a run that the report does not list as running is over for certain, with an end
/// that is known or not.
bool
IsOver(const WorkerRow& aWorker, const RunRow& aRow)
{
  if (aRow.mPhase == RunPhase::Inherited) {
    // From this poll on the worker refuses orders of earlier owners.
    return true;
  }
  return aRow.mStopConfirmedAt < aWorker.mPollSentAt;
}

/// @returns whether a run should be listed as running by now, unless it has ended.
bool
ShouldBeListed(const WorkerRow& aWorker, const RunRow& aRow)
{
  return aRow.mPhase == RunPhase::Confirmed && aRow.mPhaseSince < aWorker.mPollSentAt &&
         !aRow.mStopRequested;
}

/// Settles the runs that the worker neither lists as running nor will list as ended. The others
/// keep their capacity until a later report tells.
void
ResolveUnlistedRuns(CellState& aState,
                    WorkerRow& aWorker,
                    const std::set<RunId>& aListed,
                    Time aNow,
                    Effects& aOut)
{
  std::vector<RunId> ended;
  std::vector<RunId> unconfirmed;
  const auto unresolvedBefore = std::exchange(aWorker.mUnresolvedRuns, 0);
  for (auto& [run, row] : aWorker.mRuns) {
    if (aListed.contains(run) || row.mPhase == RunPhase::Planned) {
      continue;
    }
    const bool isOver = IsOver(aWorker, row);
    if (!isOver && !ShouldBeListed(aWorker, row)) {
      continue;
    }
    if (row.mUnlistedSinceReport == 0) {
      row.mUnlistedSinceReport = aWorker.mReports;
    }
    if (row.mUnlistedSinceReport > aWorker.mEndsKnownUntilReport) {
      ++aWorker.mUnresolvedRuns;
    } else {
      (isOver ? ended : unconfirmed).push_back(run);
    }
  }
  if (aWorker.mUnresolvedRuns > 0 && unresolvedBefore == 0) {
    Log(aOut,
        "run.unlisted",
        aWorker.mRegistration.Id(),
        absl::StrCat("runs=",
                     aWorker.mUnresolvedRuns,
                     " report=",
                     aWorker.mReports,
                     " ends_known_until_report=",
                     aWorker.mEndsKnownUntilReport,
                     " last_end=",
                     aWorker.mLastEndSeen,
                     " decision=wait for their ends"));
  }
  for (const auto& run : ended) {
    Log(aOut,
        "run.settled",
        FormatRunId(run),
        absl::StrCat("reason=not reported after its stop was confirmed or its owner fenced report=",
                     aWorker.mReports));
    const auto task = run.mTask;
    RemoveRun(aState, aWorker, run);
    const auto* row = FindTask(aState, task);
    if (row != nullptr && row->mProgress.Phase() == JobTaskPhase::Assigned &&
        row->mProgress.Run() == run.mRun) {
      Requeue(aState, task, aNow, aOut);
    }
  }
  for (const auto& run : unconfirmed) {
    Log(aOut,
        "run.missing",
        FormatRunId(run),
        absl::StrCat("reason=confirmed earlier but not reported report=", aWorker.mReports));
    auto& row = aWorker.mRuns.at(run);
    row.mStopRequested = true;
    SendStop(aState, aWorker, run, aNow, aOut);
  }
}

} // namespace

void
ApplyReport(CellState& aState,
            WorkerRow& aWorker,
            const WorkerReport& aReport,
            Time aNow,
            Effects& aOut)
{
  std::set<RunId> listed;
  for (const auto& running : aReport.Running()) {
    listed.insert({ running.Task(), running.Run() });
  }
  UpdateKnownEnds(aWorker, aReport);
  ApplyEnds(aState, aWorker, aReport, aNow, aOut);
  for (const auto& running : aReport.Running()) {
    ApplyRunning(aState, aWorker, running, aNow, aOut);
  }
  ResolveUnlistedRuns(aState, aWorker, listed, aNow, aOut);
}

} // namespace by::detail
