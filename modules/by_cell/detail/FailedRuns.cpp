#include "by_cell/detail/FailedRuns.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/WorkerStatistics.h"

namespace by::detail {

namespace {

/// Run numbers that a log line names at most.
constexpr std::size_t kMaxNamedRuns = 4;

/// @returns the newest run numbers, and how many earlier ones there are.
std::string
FormatRunNumbers(const std::set<std::uint32_t>& aRuns)
{
  const auto earlier = aRuns.size() - std::min(aRuns.size(), kMaxNamedRuns);
  const auto newest = std::next(aRuns.begin(), static_cast<std::ptrdiff_t>(earlier));
  return absl::StrCat(absl::StrJoin(newest, aRuns.end(), ","),
                      earlier > 0 ? absl::StrCat("+", earlier) : std::string());
}

/// @returns whether all members of a gang's run have failed.
bool
HaveAllFailed(const JobRow& aJob, const RunId& aRun)
{
  const auto& occurrence = aJob.mOccurrences.at(aRun.mTask.Occurrence());
  const auto& step = occurrence.mSteps[aRun.mTask.Step()];
  const auto first = occurrence.mTasks.begin() + step.mFirst;
  return std::all_of(first, first + step.mCount, [&](const TaskRow& aTask) {
    const auto& runs = aTask.mProgress.FailedRuns();
    return std::find(runs.begin(), runs.end(), aRun.mRun) != runs.end();
  });
}

/// Notes a worker that reported a failed member of a gang's run.
void
NoteWorker(StepRow& aStep, std::uint32_t aRun, const std::string& aWorker)
{
  if (aRun > aStep.mFailedRun) {
    aStep.mFailedRun = aRun;
    aStep.mFailedOn.clear();
  }
  if (aRun == aStep.mFailedRun) {
    aStep.mFailedOn.insert(aWorker);
  }
}

} // namespace

FailedRuns
CollectFailedRuns(const JobRow& aJob, const JobTaskKey& aTask)
{
  const auto& occurrence = aJob.mOccurrences.at(aTask.Occurrence());
  const auto& step = occurrence.mSteps[aTask.Step()];
  const bool isGang = StepOf(aJob, aTask.Step()).Gang();
  const auto first = isGang ? step.mFirst : step.mFirst + aTask.Index();
  const auto count = isGang ? step.mCount : 1;
  FailedRuns failed;
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto& runs = occurrence.mTasks[first + i].mProgress.FailedRuns();
    failed.mEnds += runs.size();
    failed.mRuns.insert(runs.begin(), runs.end());
  }
  return failed;
}

void
FailTask(CellState& aState,
         JobRow& aJob,
         const RunId& aRun,
         const std::string& aWorker,
         Time aNow,
         Effects& aOut)
{
  const auto& task = aRun.mTask;
  const auto& known = FindTask(aState, task)->mProgress.FailedRuns();
  if (std::find(known.begin(), known.end(), aRun.mRun) != known.end()) {
    return;
  }
  ChangeProgress(aState, task, [&](auto& aFields) { aFields.mFailedRuns.push_back(aRun.mRun); });
  const auto attempts = std::max<std::size_t>(1, PolicyOf(aState, aJob).MaxAttempts());
  const auto failed = CollectFailedRuns(aJob, task);
  const auto failures = failed.mRuns.size();
  Log(aOut,
      "task.failed",
      FormatRunId(aRun),
      absl::StrCat("failures=",
                   failures,
                   " attempts=",
                   attempts,
                   " ends=",
                   failed.mEnds,
                   " runs=",
                   FormatRunNumbers(failed.mRuns)));
  if (!StepOf(aJob, task.Step()).LongRunning() && failures >= attempts) {
    EndJob(aState, task.Job(), JobState::Failed, aNow, aOut);
    return;
  }
  if (!StepOf(aJob, task.Step()).Gang()) {
    return;
  }
  auto& step = aJob.mOccurrences.at(task.Occurrence()).mSteps[task.Step()];
  NoteWorker(step, aRun.mRun, aWorker);
  if (aRun.mRun == step.mFailedRun && HaveAllFailed(aJob, aRun)) {
    WithdrawFailures(aState, aRun, step.mFailedOn, aOut);
  }
}

} // namespace by::detail
