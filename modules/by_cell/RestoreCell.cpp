#include "by_cell/RestoreCell.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/JobOfRecord.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/SuspectedTasks.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_crashes/by_crashes.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

/// Most crashes come at a younger age than this; the record does not have their ages.
constexpr Time kUnknownAge = Time::FromMilliseconds(750);

/// The records sorted by kind, because jobs are restored before their progress.
struct Sorted
{
  std::vector<const Job*> mJobs;
  std::vector<const OccurrenceProgress*> mOccurrences;
  std::vector<const TaskRecord*> mTasks;
  std::vector<const TaskCrashes*> mCrashes;
  std::vector<const TaskLapses*> mLapses;
  std::vector<const JobOutcome*> mOutcomes;
  std::vector<const MaintenanceRecord*> mMaintenance;
  std::vector<const JobTeam*> mTeams;
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
    } else if (const auto* task = std::get_if<TaskRecord>(&body)) {
      sorted.mTasks.push_back(task);
    } else if (const auto* crashes = std::get_if<TaskCrashes>(&body)) {
      sorted.mCrashes.push_back(crashes);
    } else if (const auto* lapses = std::get_if<TaskLapses>(&body)) {
      sorted.mLapses.push_back(lapses);
    } else if (const auto* occurrence = std::get_if<OccurrenceProgress>(&body)) {
      sorted.mOccurrences.push_back(occurrence);
    } else if (const auto* outcome = std::get_if<JobOutcome>(&body)) {
      sorted.mOutcomes.push_back(outcome);
    } else if (const auto* maintenance = std::get_if<MaintenanceRecord>(&body)) {
      sorted.mMaintenance.push_back(maintenance);
    } else if (const auto* team = std::get_if<JobTeam>(&body)) {
      sorted.mTeams.push_back(team);
    }
  }
  return sorted;
}

void
RestoreRun(CellState& aState,
           const JobRow& aJob,
           const JobTaskKey& aTask,
           const TaskProgress& aProgress,
           Time aNow)
{
  const auto& id = aProgress.Worker();
  auto& worker = aState.mWorkers[id];
  if (worker.mRegistration.Id().empty()) {
    worker.mRegistration = worker.mRegistration.WithId(id);
  }
  // The records may name earlier processes too; the worker's report shows that their runs ended.
  worker.mProcessStart = std::max(worker.mProcessStart, aProgress.WorkerProcessStart());
  auto row = detail::MakeRunRow(detail::StepOf(aJob, aTask.Step()), RunPhase::Inherited, aNow);
  // A waiting task whose record names a worker was requeued; its run there still has to be stopped.
  row.mStopRequested = aProgress.Phase() == JobTaskPhase::Waiting;
  const auto& crashes = detail::FindTask(aState, aTask)->mCrashes;
  row.mProbation = NeedsTrial(crashes) ? ProbationOf(crashes) : Time();
  detail::AddRun(aState, worker, { aTask, aProgress.Run() }, std::move(row));
}

void
RestoreTask(JobRow& aJob, TaskRow& aTask, const TaskProgress& aProgress)
{
  aTask.mProgress = aProgress;
  aJob.mStarted =
    aJob.mStarted || aProgress.Phase() == JobTaskPhase::Done || !aProgress.FailedRuns().empty();
}

/// @returns the occurrence that a record belongs to, opened, or nullptr where its job has ended.
OccurrenceRow*
RecordedOccurrence(CellState& aState, const std::string& aJob, std::uint32_t aIndex)
{
  auto* job = detail::FindJob(aState, aJob);
  if (job == nullptr) {
    return nullptr;
  }
  detail::OpenOccurrencesThrough(aState, *job, aIndex);
  return detail::FindOccurrence(aState, aJob, aIndex);
}

/// Restores the tasks of an occurrence from the record that earlier versions wrote.
void
RestoreOccurrence(CellState& aState, const OccurrenceProgress& aRecord)
{
  auto* occurrence = RecordedOccurrence(aState, aRecord.Job(), aRecord.Index());
  if (occurrence == nullptr || occurrence->mTasks.size() != aRecord.Tasks().size()) {
    return;
  }
  auto& job = *detail::FindJob(aState, aRecord.Job());
  occurrence->mRecorded = true;
  for (std::size_t i = 0; i < occurrence->mTasks.size(); ++i) {
    RestoreTask(job, occurrence->mTasks[i], aRecord.Tasks()[i]);
  }
}

void
RestoreRecordedTask(CellState& aState, const TaskRecord& aRecord)
{
  auto* occurrence = RecordedOccurrence(aState, aRecord.Job(), aRecord.Occurrence());
  if (occurrence == nullptr || aRecord.Index() >= occurrence->mTasks.size()) {
    return;
  }
  auto& task = occurrence->mTasks[aRecord.Index()];
  task.mRecorded = true;
  RestoreTask(*detail::FindJob(aState, aRecord.Job()), task, aRecord.Progress());
}

void
RestoreCrashes(CellState& aState, const TaskCrashes& aRecord)
{
  auto* occurrence = RecordedOccurrence(aState, aRecord.Job(), aRecord.Occurrence());
  if (occurrence == nullptr || aRecord.Index() >= occurrence->mTasks.size()) {
    return;
  }
  auto& task = occurrence->mTasks[aRecord.Index()];
  task.mCrashesRecorded = true;
  task.mCrashes = { .mRuns = {}, .mLapsed = {}, .mLastCrash = aRecord.LastCrash() };
  for (const auto run : aRecord.Runs()) {
    task.mCrashes.mRuns.push_back({ .mRun = run, .mAge = kUnknownAge, .mIsSuspect = true });
  }
  if (!task.mCrashes.mRuns.empty()) {
    // The record has the weight of all crashes together.
    task.mCrashes.mRuns.front().mBlame = aRecord.Blame();
  }
  for (auto& step : occurrence->mSteps) {
    const bool isStepOfTask =
      aRecord.Index() >= step.mFirst && aRecord.Index() < step.mFirst + step.mCount;
    step.mHasSuspects = step.mHasSuspects || (isStepOfTask && NeedsTrial(task.mCrashes));
  }
}

void
RestoreLapses(CellState& aState, const TaskLapses& aRecord)
{
  auto* occurrence = RecordedOccurrence(aState, aRecord.Job(), aRecord.Occurrence());
  if (occurrence == nullptr || aRecord.Index() >= occurrence->mTasks.size()) {
    return;
  }
  auto& task = occurrence->mTasks[aRecord.Index()];
  task.mLapsesRecorded = true;
  for (const auto run : aRecord.Runs()) {
    task.mCrashes = WithLapse(std::move(task.mCrashes), run);
  }
}

/// Deletes the records of jobs that have ended. An owner that is lost between two appends of one
/// batch leaves them beside the outcome; once the outcome is no longer kept they would bring the
/// job back.
void
DropRecordsOfEndedJobs(CellState& aState, const std::vector<KeyedRecord>& aRecords, Effects& aOut)
{
  for (const auto& record : aRecords) {
    const auto* job = detail::JobOfRecord(record);
    const bool isTeamOfOutcome = record.Record() &&
                                 std::holds_alternative<JobTeam>(record.Record()->Body()) &&
                                 job != nullptr && aState.mOutcomes.contains(*job);
    if (job != nullptr && !aState.mJobs.contains(*job) && !isTeamOfOutcome) {
      aState.mDeletedKeys.push_back(record.Key());
    }
  }
  if (!aState.mDeletedKeys.empty()) {
    detail::Log(aOut,
                "records.dropped",
                absl::StrCat("epoch ", aState.mEpoch),
                absl::StrCat("records=", aState.mDeletedKeys.size(), " reason=their jobs ended"));
  }
}

/// Derives which steps are done, and the runs on workers, from the progress of the tasks.
void
RestoreSteps(CellState& aState,
             JobRow& aJob,
             std::uint32_t aIndex,
             OccurrenceRow& aOccurrence,
             Time aNow)
{
  aOccurrence.mDone = true;
  for (std::uint32_t s = 0; s < aOccurrence.mSteps.size(); ++s) {
    auto& step = aOccurrence.mSteps[s];
    step.mDone = true;
    for (std::uint32_t i = 0; i < step.mCount; ++i) {
      const auto& progress = aOccurrence.mTasks[step.mFirst + i].mProgress;
      const bool isDone = progress.Phase() == JobTaskPhase::Done;
      step.mDone = step.mDone && isDone;
      if (!isDone && !progress.Worker().empty()) {
        const auto key =
          JobTaskKey::Create(
            { .mJob = aJob.mJob.Id(), .mOccurrence = aIndex, .mStep = s, .mIndex = i })
            .value();
        RestoreRun(aState, aJob, key, progress, aNow);
      }
    }
    aOccurrence.mDone = aOccurrence.mDone && step.mDone;
  }
  aJob.mDoneOccurrences += aOccurrence.mDone ? 1 : 0;
}

} // namespace

CellState
RestoreCell(CellState aEmpty, const std::vector<KeyedRecord>& aRecords, Time aNow, Effects& aOut)
{
  auto state = std::move(aEmpty);
  detail::ApplyTeamPolicies(state);
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
  for (const auto* team : sorted.mTeams) {
    if (auto* job = detail::FindJob(state, team->Job())) {
      job->mTeam = team->Team();
    } else if (const auto it = state.mOutcomes.find(team->Job()); it != state.mOutcomes.end()) {
      it->second.mTeam = team->Team();
    }
  }
  DropRecordsOfEndedJobs(state, aRecords, aOut);
  for (const auto* occurrence : sorted.mOccurrences) {
    RestoreOccurrence(state, *occurrence);
  }
  // A task's own record is newer than that of its occurrence.
  for (const auto* task : sorted.mTasks) {
    RestoreRecordedTask(state, *task);
  }
  for (const auto* crashes : sorted.mCrashes) {
    RestoreCrashes(state, *crashes);
  }
  for (const auto* lapses : sorted.mLapses) {
    RestoreLapses(state, *lapses);
  }
  std::vector<std::string> complete;
  for (auto& [id, job] : state.mJobs) {
    for (auto& [index, occurrence] : job.mOccurrences) {
      RestoreSteps(state, job, index, occurrence, aNow);
    }
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
  detail::EndHopelessJobs(state, aNow, aOut);
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
