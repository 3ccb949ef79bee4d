#include "by_cell/detail/SuspectedTasks.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/CrashStatistics.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Tables.h"
#include "by_crashes/by_crashes.h"

namespace by::detail {

namespace {

constexpr double kWhole = 100;
/// Earlier crashes at about the same age that let a task be suspected after its probation.
constexpr std::size_t kEarlierCrashes = 2;

void
LogSuspect(const WorkerCrash& aCrash,
           const RunInCrash& aRun,
           const CrashHistory& aHistory,
           double aChance,
           Effects& aOut)
{
  Log(aOut,
      "task.suspected",
      FormatRunId(aRun.mRun),
      absl::StrCat("worker=",
                   aCrash.mWorker,
                   " role=",
                   std::string(ToString(aRun.mRole)),
                   " crashes=",
                   aHistory.mRuns.size(),
                   " blame=",
                   BlameOf(aHistory),
                   " age_ms=",
                   aRun.mSilentAfter.Milliseconds(),
                   " chance_percent=",
                   std::llround(aChance * kWhole)));
}

/// @returns how long a crash counts against a run. One that went on for longer than its probation
/// is suspected only after earlier crashes at about the same age.
Time
ExposureOf(const RunInCrash& aRun, const CrashHistory& aHistory)
{
  if (aRun.mExposure > Time()) {
    return aRun.mExposure;
  }
  return aHistory.mRuns.size() > kEarlierCrashes ? aRun.mSilentAfter * 2 : Time();
}

/// Replaces the history of a task, and marks the runs that may have crashed their worker unseen to
/// be stored where they differ.
void
ChangeHistory(CellState& aState, const JobTaskKey& aTask, TaskRow& aRow, CrashHistory aHistory)
{
  if (aHistory.mLapsed != aRow.mCrashes.mLapsed) {
    aRow.mLapsesRecorded = true;
    aState.mNewLapses.insert(aTask);
  }
  aRow.mCrashes = std::move(aHistory);
}

} // namespace

void
MarkCrashesChanged(CellState& aState, const JobTaskKey& aTask, TaskRow& aRow)
{
  aRow.mCrashesRecorded = true;
  aState.mNewCrashes.insert(aTask);
}

void
RefreshSuspects(CellState& aState, const JobTaskKey& aTask, const TaskRow& aRow)
{
  auto& job = *FindJob(aState, aTask.Job());
  auto& step = job.mOccurrences.at(aTask.Occurrence()).mSteps[aTask.Step()];
  step.mHasSuspects = step.mHasSuspects || NeedsTrial(aRow.mCrashes);
  RefreshStep(aState, job, aTask.Occurrence(), aTask.Step());
}

void
AddToHistory(CellState& aState, RunInCrash& aRun, Time aNow)
{
  auto* task = FindTask(aState, aRun.mRun.mTask);
  if (task == nullptr || task->mProgress.Phase() == JobTaskPhase::Done) {
    return;
  }
  auto history = WithCrash(
    task->mCrashes,
    { .mRun = aRun.mRun.mRun, .mAge = aRun.mSilentAfter, .mIsSuspect = aRun.mExposure > Time() },
    aNow);
  aRun.mIsNew = history != task->mCrashes;
  if (aRun.mIsNew) {
    ChangeHistory(aState, aRun.mRun.mTask, *task, std::move(history));
    task->mIsCrashOpen = true;
    if (aRun.mExposure > Time()) {
      MarkCrashesChanged(aState, aRun.mRun.mTask, *task);
    }
  }
}

void
AddLapse(CellState& aState, const RunId& aRun)
{
  auto* task = FindTask(aState, aRun.mTask);
  if (task != nullptr && task->mProgress.Phase() != JobTaskPhase::Done) {
    ChangeHistory(aState, aRun.mTask, *task, WithLapse(task->mCrashes, aRun.mRun));
  }
}

void
AddBrokenTrial(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, Time aNow)
{
  const auto it = aWorker.mRuns.find(aRun);
  const auto* task = FindTask(aState, aRun.mTask);
  if (it == aWorker.mRuns.end() || task == nullptr || !NeedsCalmTrial(task->mCrashes)) {
    return;
  }
  // An inherited run may be of any age.
  const auto& row = it->second;
  if (row.mOrderedAt > Time() && aNow < row.mOrderedAt + row.mProbation) {
    AddLapse(aState, aRun);
  }
}

void
DropLapse(CellState& aState, const RunId& aRun)
{
  auto* task = FindTask(aState, aRun.mTask);
  if (task != nullptr && !task->mCrashes.mLapsed.empty()) {
    ChangeHistory(aState, aRun.mTask, *task, WithoutLapse(task->mCrashes, aRun.mRun));
  }
}

void
Weigh(CellState& aState, const WorkerCrash& aCrash, Effects& aOut)
{
  const auto pool = CountPoolCrashes(aState, aCrash.mPool, aCrash.mLostAt, aCrash.mWorker);
  for (const auto& run : aCrash.mRuns) {
    auto* task = FindTask(aState, run.mRun.mTask);
    const bool isSuspect = run.mRole != CrashRole::Bystander || run.mExposure > Time();
    if (task == nullptr || !isSuspect || !run.mIsNew) {
      continue;
    }
    const auto exposure = ExposureOf(run, task->mCrashes);
    const auto chance = exposure > Time() ? ChanceOfCrash(pool, exposure) : 1.0;
    auto history = WithBlame(task->mCrashes, run.mRun.mRun, BlameFor(run.mRole, chance));
    if (history != task->mCrashes || !task->mCrashesRecorded) {
      task->mCrashes = std::move(history);
      MarkCrashesChanged(aState, run.mRun.mTask, *task);
    }
    if (aCrash.mIsSettled && run.mRole != CrashRole::Bystander) {
      LogSuspect(aCrash, run, task->mCrashes, chance, aOut);
    }
  }
}

void
NoteSurvival(CellState& aState,
             const WorkerRow& aWorker,
             const RunId& aRun,
             const RunRow& aRow,
             Effects& aOut)
{
  auto* task = FindTask(aState, aRun.mTask);
  if (task == nullptr || (task->mCrashes.mRuns.empty() && task->mCrashes.mLapsed.empty())) {
    return;
  }
  const auto before = task->mCrashes.mRuns.size();
  // It had begun when its start was confirmed, and went on when the worker was polled.
  const auto age = std::max(Time(), aWorker.mPollSentAt - aRow.mPhaseSince);
  ChangeHistory(aState, aRun.mTask, *task, WithSurvival(task->mCrashes, age));
  if (task->mCrashes.mRuns.size() == before) {
    return;
  }
  Log(aOut,
      "task.cleared",
      FormatRunId(aRun),
      absl::StrCat("ran_ms=",
                   age.Milliseconds(),
                   " crashes=",
                   task->mCrashes.mRuns.size(),
                   " blame=",
                   BlameOf(task->mCrashes)));
  if (task->mCrashesRecorded) {
    MarkCrashesChanged(aState, aRun.mTask, *task);
  }
  RefreshSuspects(aState, aRun.mTask, *task);
}

void
GiveUpIfHopeless(CellState& aState, const JobTaskKey& aTask, Time aNow, Effects& aOut)
{
  const auto* task = FindTask(aState, aTask);
  if (task == nullptr || task->mIsCrashOpen || !IsHopeless(task->mCrashes)) {
    return;
  }
  Log(aOut,
      "task.given_up",
      FormatRunId({ aTask, task->mProgress.Run() }),
      absl::StrCat("reason=crashes its workers crashes=",
                   task->mCrashes.mRuns.size(),
                   " blame=",
                   BlameOf(task->mCrashes),
                   " lapses=",
                   task->mCrashes.mLapsed.size()));
  EndJob(aState, aTask.Job(), JobState::Failed, aNow, aOut);
}

void
EndHopelessJobs(CellState& aState, Time aNow, Effects& aOut)
{
  std::vector<JobTaskKey> hopeless;
  for (const auto& [id, job] : aState.mJobs) {
    for (const auto& [index, occurrence] : job.mOccurrences) {
      for (std::uint32_t s = 0; s < occurrence.mSteps.size(); ++s) {
        const auto& step = occurrence.mSteps[s];
        for (std::uint32_t i = 0; step.mHasSuspects && i < step.mCount; ++i) {
          if (IsHopeless(occurrence.mTasks[step.mFirst + i].mCrashes)) {
            hopeless.push_back(
              JobTaskKey::Create({ .mJob = id, .mOccurrence = index, .mStep = s, .mIndex = i })
                .value());
          }
        }
      }
    }
  }
  for (const auto& task : hopeless) {
    GiveUpIfHopeless(aState, task, aNow, aOut);
  }
}

} // namespace by::detail
