#include "by_cell/detail/Jobs.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_jobs/by_jobs.h"

namespace by::detail {

namespace {

/// A job loses value past its objective, and has none left past this many times its objective.
constexpr std::int64_t kOverdueObjectives = 3;

std::pair<std::string, std::string>
QueueKey(const JobRow& aJob)
{
  return { aJob.mJob.Queue().Host(), aJob.mJob.Queue().PathPrefix() };
}

/// Checks for placeable tasks: a gang needs all of its members, any other step one task.
bool
HasTasksToPlace(const OccurrenceRow& aOccurrence, const StepRow& aStep, bool aGang)
{
  const auto first = aOccurrence.mTasks.begin() + aStep.mFirst;
  const auto last = first + aStep.mCount;
  return aGang ? std::all_of(first, last, CanBePlaced) : std::any_of(first, last, CanBePlaced);
}

void
StopRuns(CellState& aState, const JobRow& aJob, Time aNow, Effects& aOut)
{
  std::vector<std::pair<std::string, RunId>> runs;
  for (const auto& [index, occurrence] : aJob.mOccurrences) {
    for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
      for (std::uint32_t i = 0; i < occurrence.mSteps[s].mCount; ++i) {
        const auto& task = occurrence.mTasks[occurrence.mSteps[s].mFirst + i];
        if (task.mLiveRuns > 0) {
          runs.emplace_back(
            task.mProgress.Worker(),
            RunId{ JobTaskKey::Create(
                     { .mJob = aJob.mJob.Id(), .mOccurrence = index, .mStep = s, .mIndex = i })
                     .value(),
                   task.mProgress.Run() });
        }
      }
    }
  }
  for (const auto& [worker, run] : runs) {
    RequestStop(aState, worker, run, aNow, aOut);
  }
}

Time
DueTime(const Job& aJob, std::uint32_t aOccurrence)
{
  const auto& definition = aJob.Definition();
  return definition.Occurrences() == 0
           ? aJob.Accepted()
           : definition.FirstDue() + definition.Interval() * aOccurrence;
}

void
OpenNextOccurrence(CellState& aState, JobRow& aJob)
{
  const auto index = aJob.mNextOccurrence++;
  OpenOccurrence(aState, aJob, index, DueTime(aJob.mJob, index));
  RefreshOccurrence(aState, aJob, index);
}

void
RemoveReadySteps(CellState& aState, JobRow& aJob)
{
  for (auto& [index, occurrence] : aJob.mOccurrences) {
    for (auto& step : occurrence.mSteps) {
      if (step.mReady) {
        aState.mReady.erase(*step.mReady);
        step.mReady.reset();
      }
    }
  }
}

void
RemoveTasksOf(const std::string& aJob, absl::btree_set<JobTaskKey>& aTasks)
{
  const auto first = aTasks.lower_bound(JobTaskKey::Create({ .mJob = aJob }).value());
  auto last = first;
  while (last != aTasks.end() && last->Job() == aJob) {
    ++last;
  }
  aTasks.erase(first, last);
}

/// Forgets which tasks of a job have new progress or crashes.
void
RemoveNewProgress(CellState& aState, const std::string& aJob)
{
  RemoveTasksOf(aJob, aState.mNewProgress);
  RemoveTasksOf(aJob, aState.mNewCrashes);
  RemoveTasksOf(aJob, aState.mNewLapses);
}

/// Drops the records of a job that the store holds or may hold.
void
DropRecords(CellState& aState, const JobRow& aJob)
{
  const auto& id = aJob.mJob.Id();
  auto& keys = aState.mDeletedKeys;
  keys.push_back(JobRecordKey(id));
  for (const auto& [index, occurrence] : aJob.mOccurrences) {
    if (occurrence.mRecorded) {
      keys.push_back(ProgressRecordKey(id, index));
    }
    for (std::uint32_t i = 0; i < occurrence.mTasks.size(); ++i) {
      if (occurrence.mTasks[i].mRecorded) {
        keys.push_back(TaskRecordKey(id, index, i));
      }
      if (occurrence.mTasks[i].mCrashesRecorded) {
        keys.push_back(CrashRecordKey(id, index, i));
      }
      if (occurrence.mTasks[i].mLapsesRecorded) {
        keys.push_back(LapseRecordKey(id, index, i));
      }
    }
  }
}

} // namespace

bool
CanBePlaced(const TaskRow& aTask)
{
  return aTask.mProgress.Phase() == JobTaskPhase::Waiting && aTask.mLiveRuns == 0 &&
         !aTask.mIsCrashOpen;
}

OccurrenceRow&
OpenOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, Time aDue)
{
  const auto& definition = aJob.mJob.Definition();
  const auto paths = CriticalPathsFrom(definition);
  auto& occurrence = aJob.mOccurrences[aOccurrence];
  occurrence.mDue = aDue;
  occurrence.mTasks.resize(CountTasks(definition));
  for (std::uint32_t s = 0; s < definition.Steps().size(); ++s) {
    StepRow step;
    step.mFirst = FirstTaskOf(definition, s);
    step.mCount = definition.Steps()[s].Count();
    step.mCriticalPath = paths[s];
    occurrence.mSteps.push_back(std::move(step));
  }
  aState.mPlacementNeeded = true;
  return occurrence;
}

void
OpenDueOccurrences(CellState& aState, JobRow& aJob, Time aNow)
{
  const auto& definition = aJob.mJob.Definition();
  const auto count = CountOccurrences(definition);
  while (aJob.mNextOccurrence < count) {
    const auto due = DueTime(aJob.mJob, aJob.mNextOccurrence);
    if (definition.Occurrences() > 0 && due > aNow) {
      aState.mSchedule.emplace(due, aJob.mJob.Id());
      return;
    }
    OpenNextOccurrence(aState, aJob);
  }
}

void
OpenOccurrencesThrough(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence)
{
  const auto count = CountOccurrences(aJob.mJob.Definition());
  while (aJob.mNextOccurrence <= aOccurrence && aOccurrence < count) {
    OpenNextOccurrence(aState, aJob);
  }
}

bool
ArePredecessorsDone(const JobRow& aJob, const OccurrenceRow& aOccurrence, std::uint32_t aStep)
{
  const auto& after = StepOf(aJob, aStep).After();
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t aEarlier) {
    return aEarlier < aOccurrence.mSteps.size() && aOccurrence.mSteps[aEarlier].mDone;
  });
}

void
RefreshStep(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  auto& occurrence = aJob.mOccurrences.at(aOccurrence);
  auto& step = occurrence.mSteps[aStep];
  const auto& definition = StepOf(aJob, aStep);
  const bool ready = !step.mDone && ArePredecessorsDone(aJob, occurrence, aStep) &&
                     HasTasksToPlace(occurrence, step, definition.Gang());
  if (!ready) {
    if (step.mReady) {
      aState.mReady.erase(*step.mReady);
      step.mReady.reset();
    }
    return;
  }
  const auto& policy = PolicyOf(aState, aJob);
  const auto objective = ObjectiveTime(aJob.mJob.Definition(), policy);
  const bool hasTeams = HasTeams(aState);
  const bool exceedsQuota = ExceedsQuota(aState, aJob.mTeam, definition);
  ReadyKey key{ .mInfeasible = step.mInfeasible || exceedsQuota,
                .mExceededTeam = exceedsQuota ? aJob.mTeam : TeamId(),
                .mIsOverdue = step.mUrgency == Urgency::Overdue,
                .mIsExcess = aJob.mIsExcess,
                .mUrgency = step.mUrgency,
                .mPriority = policy.Priority(),
                .mTeam = hasTeams ? aJob.mTeam : TeamId(),
                .mPool = hasTeams ? policy.Pool() : std::string(),
                .mIsGang = hasTeams && definition.Gang(),
                .mLatestStart = occurrence.mDue + objective - step.mCriticalPath,
                .mJob = aJob.mJob.Id(),
                .mOccurrence = aOccurrence,
                .mStep = aStep };
  if (step.mReady == key) {
    return;
  }
  if (step.mReady) {
    aState.mReady.erase(*step.mReady);
  }
  step.mReady = key;
  aState.mReady.insert(std::move(key));
  aState.mPlacementNeeded = true;
}

void
RefreshOccurrence(CellState& aState, JobRow& aJob, std::uint32_t aOccurrence)
{
  const auto n = static_cast<std::uint32_t>(aJob.mOccurrences.at(aOccurrence).mSteps.size());
  for (std::uint32_t s = 0; s < n; ++s) {
    RefreshStep(aState, aJob, aOccurrence, s);
  }
}

void
UpdateUrgency(CellState& aState, Time aNow)
{
  std::vector<ReadyKey> changed;
  for (const auto& key : aState.mReady) {
    const auto& job = aState.mJobs.at(key.mJob);
    const auto objective = job.mObjective - job.mJob.Accepted();
    const auto due = job.mOccurrences.at(key.mOccurrence).mDue + objective;
    const auto overdueAfter = due + objective * (kOverdueObjectives - 1);
    const auto urgency = aNow > overdueAfter ? Urgency::Overdue
                         : aNow > due        ? Urgency::Late
                                             : Urgency::OnTime;
    if (urgency != key.mUrgency) {
      changed.push_back(key);
      changed.back().mUrgency = urgency;
    }
  }
  for (const auto& key : changed) {
    auto& job = aState.mJobs.at(key.mJob);
    job.mOccurrences.at(key.mOccurrence).mSteps[key.mStep].mUrgency = key.mUrgency;
    RefreshStep(aState, job, key.mOccurrence, key.mStep);
  }
}

void
DiscardJob(CellState& aState, const std::string& aJob, Time aNow, Effects& aOut)
{
  const auto it = aState.mJobs.find(aJob);
  if (it == aState.mJobs.end()) {
    return;
  }
  StopRuns(aState, it->second, aNow, aOut);
  // Removing planned runs may have made steps ready again.
  RemoveReadySteps(aState, it->second);
  RemoveNewProgress(aState, aJob);
  absl::erase_if(aState.mSchedule, [&](const auto& aEntry) { return aEntry.second == aJob; });
  std::erase(aState.mNewJobs, aJob);
  aState.mJobs.erase(it);
}

void
MarkJobStarted(CellState& aState, JobRow& aJob)
{
  if (aJob.mStarted) {
    return;
  }
  aJob.mStarted = true;
  auto& waiting = aState.mUnstarted[QueueKey(aJob)];
  if (aJob.mStored && aJob.mJob.Definition().Occurrences() == 0 && waiting > 0) {
    --waiting;
  }
}

void
UpdateCompletion(CellState& aState,
                 JobRow& aJob,
                 std::uint32_t aOccurrence,
                 std::uint32_t aStep,
                 Time aNow,
                 Effects& aOut)
{
  auto& occurrence = aJob.mOccurrences.at(aOccurrence);
  auto& step = occurrence.mSteps[aStep];
  const auto first = occurrence.mTasks.begin() + step.mFirst;
  step.mDone = std::all_of(first, first + step.mCount, [](const TaskRow& aTask) {
    return aTask.mProgress.Phase() == JobTaskPhase::Done;
  });
  if (!step.mDone) {
    return;
  }
  occurrence.mDone = std::all_of(occurrence.mSteps.begin(),
                                 occurrence.mSteps.end(),
                                 [](const StepRow& aOther) { return aOther.mDone; });
  if (!occurrence.mDone) {
    RefreshOccurrence(aState, aJob, aOccurrence);
    return;
  }
  ++aJob.mDoneOccurrences;
  if (aJob.mDoneOccurrences == CountOccurrences(aJob.mJob.Definition())) {
    EndJob(aState, aJob.mJob.Id(), JobState::Completed, aNow, aOut);
  }
}

void
EndJob(CellState& aState, const std::string& aJob, JobState aOutcome, Time aNow, Effects& aOut)
{
  const auto it = aState.mJobs.find(aJob);
  if (it == aState.mJobs.end()) {
    return;
  }
  auto& job = it->second;
  Log(aOut,
      "job.ended",
      aJob,
      absl::StrCat("state=",
                   std::string(ToString(aOutcome)),
                   " age_ms=",
                   (aNow - job.mJob.Accepted()).Milliseconds(),
                   " objective_ms=",
                   (job.mObjective - job.mJob.Accepted()).Milliseconds()));
  MarkJobStarted(aState, job);
  if (aOutcome != JobState::Completed) {
    StopRuns(aState, job, aNow, aOut);
  }
  // Removing planned runs may have made steps ready again.
  RemoveReadySteps(aState, job);
  auto& outcome = aState.mOutcomes[aJob];
  outcome.mState = aOutcome;
  outcome.mTeam = job.mTeam;
  outcome.mEnded = aNow;
  outcome.mSubmitters = std::move(job.mSubmitters);
  aState.mOutcomesByEnd.emplace(aNow, aJob);
  aState.mNewOutcomes.push_back(aJob);
  DropRecords(aState, job);
  RemoveNewProgress(aState, aJob);
  std::erase(aState.mNewJobs, aJob);
  aState.mJobs.erase(it);
  aState.mPlacementNeeded = true;
}

} // namespace by::detail
