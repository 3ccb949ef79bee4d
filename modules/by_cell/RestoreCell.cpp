#include "by_cell/RestoreCell.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

/// The records sorted by kind, because jobs are restored before their progress.
struct Sorted
{
  std::vector<const Job*> mJobs;
  std::vector<const OccurrenceProgress*> mProgress;
  std::vector<const JobOutcome*> mOutcomes;
  std::vector<const MaintenanceRecord*> mMaintenance;
};

Sorted
Sort(const std::vector<KeyedRecord>& aRecords)
{
  Sorted sorted;
  for (const auto& record : aRecords) {
    if (!record.Record()) {
      continue;
    }
    const auto& body = record.Record()->Body();
    if (const auto* job = std::get_if<Job>(&body)) {
      sorted.mJobs.push_back(job);
    } else if (const auto* progress = std::get_if<OccurrenceProgress>(&body)) {
      sorted.mProgress.push_back(progress);
    } else if (const auto* outcome = std::get_if<JobOutcome>(&body)) {
      sorted.mOutcomes.push_back(outcome);
    } else if (const auto* maintenance = std::get_if<MaintenanceRecord>(&body)) {
      sorted.mMaintenance.push_back(maintenance);
    }
  }
  return sorted;
}

void
RestoreRun(CellState& aState, const JobRow& aJob, const JobTaskKey& aTask, Time aNow)
{
  const auto* task = detail::FindTask(aState, aTask);
  const auto& id = task->mProgress.Worker();
  auto& worker = aState.mWorkers[id];
  if (worker.mRegistration.Id().empty()) {
    worker.mRegistration = worker.mRegistration.WithId(id);
    worker.mProcessStart = task->mProgress.WorkerProcessStart();
  }
  auto row = detail::MakeRunRow(detail::StepOf(aJob, aTask.Step()), RunPhase::Inherited, aNow);
  // A waiting task whose record names a worker was requeued; its run there still has to be stopped.
  row.mStopRequested = task->mProgress.Phase() == JobTaskPhase::Waiting;
  detail::AddRun(aState, worker, { aTask, task->mProgress.Run() }, std::move(row));
}

void
RestoreProgress(CellState& aState, JobRow& aJob, const OccurrenceProgress& aProgress, Time aNow)
{
  auto it = aJob.mOccurrences.find(aProgress.Index());
  if (it == aJob.mOccurrences.end() || it->second.mTasks.size() != aProgress.Tasks().size()) {
    return;
  }
  auto& occurrence = it->second;
  for (std::size_t i = 0; i < occurrence.mTasks.size(); ++i) {
    occurrence.mTasks[i].mProgress = aProgress.Tasks()[i];
    aJob.mStarted = aJob.mStarted || aProgress.Tasks()[i].Phase() == JobTaskPhase::Done ||
                    !aProgress.Tasks()[i].FailedRuns().empty();
  }
  occurrence.mDone = true;
  for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
    auto& step = occurrence.mSteps[s];
    step.mDone = true;
    for (std::uint32_t i = 0; i < step.mCount; ++i) {
      const auto phase = occurrence.mTasks[step.mFirst + i].mProgress.Phase();
      step.mDone = step.mDone && phase == JobTaskPhase::Done;
      const auto& progress = occurrence.mTasks[step.mFirst + i].mProgress;
      if (phase != JobTaskPhase::Done && !progress.Worker().empty()) {
        RestoreRun(
          aState,
          aJob,
          JobTaskKey::Create(
            { .mJob = aProgress.Job(), .mOccurrence = aProgress.Index(), .mStep = s, .mIndex = i })
            .value(),
          aNow);
      }
    }
    occurrence.mDone = occurrence.mDone && step.mDone;
  }
  aJob.mDoneOccurrences += occurrence.mDone ? 1 : 0;
}

} // namespace

CellState
RestoreCell(CellState aEmpty, const std::vector<KeyedRecord>& aRecords, Time aNow, Effects& aOut)
{
  auto state = std::move(aEmpty);
  const auto sorted = Sort(aRecords);
  for (const auto* outcome : sorted.mOutcomes) {
    auto& row = state.mOutcomes[outcome->Job()];
    row.mState = outcome->State();
    row.mStored = true;
    row.mEnded = outcome->Ended();
    state.mOutcomesByEnd.emplace(outcome->Ended(), outcome->Job());
  }
  for (const auto* maintenance : sorted.mMaintenance) {
    RestoreMaintenance(state, *maintenance, aNow);
  }
  for (const auto* accepted : sorted.mJobs) {
    if (state.mOutcomes.contains(accepted->Id())) {
      continue;
    }
    auto& job = state.mJobs[accepted->Id()];
    job.mJob = *accepted;
    job.mStored = true;
    job.mObjective =
      accepted->Accepted() + ObjectiveTime(accepted->Definition(), accepted->Queue());
    detail::OpenDueOccurrences(state, job, aNow);
  }
  for (const auto* progress : sorted.mProgress) {
    if (auto* job = detail::FindJob(state, progress->Job())) {
      RestoreProgress(state, *job, *progress, aNow);
    }
  }
  std::vector<std::string> complete;
  for (auto& [id, job] : state.mJobs) {
    if (!job.mStarted && job.mJob.Definition().Occurrences() == 0) {
      ++state.mUnstarted[{ job.mJob.Queue().Host(), job.mJob.Queue().PathPrefix() }];
    }
    for (const auto& [index, occurrence] : job.mOccurrences) {
      detail::RefreshOccurrence(state, job, index);
    }
    if (job.mDoneOccurrences == CountOccurrences(job.mJob.Definition())) {
      complete.push_back(id);
    }
  }
  for (const auto& id : complete) {
    detail::EndJob(state, id, JobState::Completed, aNow, aOut);
  }
  detail::Log(aOut,
              "cell.restored",
              absl::StrCat("epoch ", state.mEpoch),
              absl::StrCat("records=",
                           aRecords.size(),
                           " open_jobs=",
                           state.mJobs.size(),
                           " ended_jobs=",
                           state.mOutcomes.size(),
                           " workers_with_runs=",
                           state.mWorkers.size()));
  return state;
}

} // namespace by
