#include "by_intents/detail/FoldReports.h"

#include <cstddef>
#include <string>

#include "absl/strings/str_cat.h"

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/FoldGangs.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

void
FailIntent(IntentTable& aTable, FoldedIntent& aIntent, std::string aDetail, Time aAt)
{
  ReplaceProgress(
    aTable,
    aIntent,
    aIntent.mProgress.WithState(IntentState::Failed).WithDetail(std::move(aDetail)).WithSince(aAt));
}

/// @returns the row of a task whose live generation has ended.
IntentTaskStatus::Fields
EndedFields(const IntentTaskStatus& aTask, const TaskReport& aReport, Time aAt)
{
  auto fields = aTask.ToFields();
  fields.mAssigned = false;
  fields.mReserved = false;
  fields.mState = aReport.State();
  fields.mVm = aReport.Vm().IsEmpty() ? aTask.Vm() : aReport.Vm();
  fields.mDetail = aReport.Detail();
  fields.mSince = aAt;
  return fields;
}

std::string
DetailSuffix(const TaskReport& aReport)
{
  return aReport.Detail().empty() ? std::string() : absl::StrCat(": ", aReport.Detail());
}

/// @returns the task's failures including this one. A replica that ran for kStableRunTime counts
/// from one again, so it restarts with the initial backoff.
std::int64_t
FailuresAfter(const FoldedIntent& aIntent, const IntentTaskStatus& aTask, Time aAt)
{
  const bool wasStable = IsService(aIntent) && aTask.State() == TaskState::Running &&
                         aAt - aTask.Since() >= kStableRunTime;
  return wasStable ? 1 : aTask.Failures() + 1;
}

/// Ends a task of a started gang. Unless the task succeeded, the whole gang has to restart.
void
EndGangTask(IntentTable& aTable, FoldedIntent& aIntent, const TaskReport& aReport, Time aAt)
{
  const auto& progress = aIntent.mProgress;
  if (aReport.State() == TaskState::Succeeded || progress.GangBroken()) {
    return;
  }
  const auto failures = progress.Failures() + 1;
  ReplaceProgress(aTable,
                  aIntent,
                  progress.WithGangBroken(true).WithFailures(failures).WithDetail(
                    absl::StrCat("task ", aReport.Index(), " ended early", DetailSuffix(aReport))));
  if (!aIntent.mPlan.Spec().Idempotent()) {
    FailIntent(aTable,
               aIntent,
               absl::StrCat("the gang may have run in part and is not idempotent; task ",
                            aReport.Index(),
                            " ended early",
                            DetailSuffix(aReport)),
               aAt);
    return;
  }
  if (failures >= aIntent.mPlan.Spec().MaxAttempts()) {
    FailIntent(aTable,
               aIntent,
               absl::StrCat("the gang broke up ",
                            failures,
                            " times, last task ",
                            aReport.Index(),
                            DetailSuffix(aReport)),
               aAt);
  }
}

/// Fails the intent if a task has no attempts left.
void
CheckAttempts(IntentTable& aTable,
              FoldedIntent& aIntent,
              const IntentTaskStatus& aTask,
              const TaskReport& aReport,
              Time aAt)
{
  if (!IsService(aIntent) && aTask.Failures() >= aIntent.mPlan.Spec().MaxAttempts()) {
    FailIntent(
      aTable,
      aIntent,
      absl::StrCat(
        "task ", aTask.Index(), " failed ", aTask.Failures(), " times", DetailSuffix(aReport)),
      aAt);
  }
}

/// Ends a live generation that may have run.
void
EndRun(IntentTable& aTable,
       FoldedIntent& aIntent,
       const IntentTaskStatus& aTask,
       const TaskReport& aReport,
       Time aAt)
{
  const bool isFailure = aReport.State() == TaskState::Failed ||
                         aReport.State() == TaskState::Lost ||
                         (aReport.State() == TaskState::Succeeded && IsService(aIntent));
  const bool stopsOnRequest = MustStop(aIntent, aTask);
  auto fields = EndedFields(aTask, aReport, aAt);
  fields.mReleases = 0;
  if (isFailure && !stopsOnRequest) {
    fields.mFailures = FailuresAfter(aIntent, aTask, aAt);
  }
  ReplaceTask(aTable, aIntent, IntentTaskStatus::Create(fields).value());
  const bool isComplete = aReport.State() == TaskState::Succeeded && !IsService(aIntent);
  if (stopsOnRequest || HasEnded(aIntent) || isComplete) {
    return;
  }
  if (!aIntent.mPlan.Spec().Idempotent()) {
    FailIntent(
      aTable,
      aIntent,
      absl::StrCat(
        "task ", aTask.Index(), " may have run and is not idempotent", DetailSuffix(aReport)),
      aAt);
    return;
  }
  if (IsGang(aIntent)) {
    EndGangTask(aTable, aIntent, aReport, aAt);
    return;
  }
  CheckAttempts(aTable, aIntent, IntentTaskStatus::Create(fields).value(), aReport, aAt);
}

/// Ends a live generation that was never started.
void
Release(IntentTable& aTable,
        FoldedIntent& aIntent,
        const IntentTaskStatus& aTask,
        const TaskReport& aReport,
        Time aAt)
{
  auto fields = EndedFields(aTask, aReport, aAt);
  fields.mState = TaskState::NotStarted;
  fields.mReleases += 1;
  ReplaceTask(aTable, aIntent, IntentTaskStatus::Create(std::move(fields)).value());
  if (aIntent.mProgress.GangStarted() && !HasEnded(aIntent)) {
    EndGangTask(aTable, aIntent, aReport, aAt);
  }
}

bool
MarkReserved(IntentTable& aTable,
             FoldedIntent& aIntent,
             const IntentTaskStatus& aTask,
             const TaskReport& aReport)
{
  if (aTask.Reserved()) {
    return false;
  }
  ReplaceTask(aTable, aIntent, aTask.WithReserved(true).WithVm(aReport.Vm()));
  return true;
}

bool
MarkRunning(IntentTable& aTable,
            FoldedIntent& aIntent,
            const IntentTaskStatus& aTask,
            const TaskReport& aReport,
            Time aAt)
{
  if (aTask.State() == TaskState::Running) {
    return false;
  }
  auto fields = aTask.ToFields();
  fields.mState = TaskState::Running;
  fields.mReserved = false;
  fields.mReleases = 0;
  fields.mVm = aReport.Vm();
  fields.mDetail.clear();
  fields.mSince = aAt;
  ReplaceTask(aTable, aIntent, IntentTaskStatus::Create(std::move(fields)).value());
  return true;
}

const IntentTaskStatus*
LiveTask(const FoldedIntent& aIntent, const TaskReport& aReport, const RackId& aRack)
{
  const auto index = aReport.Index();
  if (index < 0 || index >= static_cast<std::int64_t>(aIntent.mTasks.size())) {
    return nullptr;
  }
  const auto& task = aIntent.mTasks[static_cast<std::size_t>(index)];
  const bool matches =
    task.Assigned() && task.Generation() == aReport.Generation() && task.Rack() == aRack;
  return matches ? &task : nullptr;
}

bool
FoldLiveReport(IntentTable& aTable,
               FoldedIntent& aIntent,
               const IntentTaskStatus& aTask,
               const TaskReport& aReport,
               Time aAt)
{
  if (aReport.State() == TaskState::NotStarted) {
    if (aTask.State() == TaskState::Running) {
      return false;
    }
    if (aReport.Reserved()) {
      return MarkReserved(aTable, aIntent, aTask, aReport);
    }
    Release(aTable, aIntent, aTask, aReport, aAt);
    return true;
  }
  if (IsRoundOpen(aIntent)) {
    // Nothing of an open round was started, so its tasks can only be released.
    if (aReport.State() != TaskState::Lost) {
      return false;
    }
    Release(aTable, aIntent, aTask, aReport, aAt);
    return true;
  }
  if (aReport.State() == TaskState::Running) {
    return MarkRunning(aTable, aIntent, aTask, aReport, aAt);
  }
  EndRun(aTable, aIntent, aTask, aReport, aAt);
  return true;
}

} // namespace

bool
FoldReports(IntentTable& aTable, const TaskReports& aReports, std::uint64_t aRackEpoch, Time aAt)
{
  if (aRackEpoch == 0 || aReports.Epoch() != aRackEpoch) {
    return false;
  }
  bool changed = false;
  for (const auto& report : aReports.Reports()) {
    const auto it = aTable.mIntents.find(report.Intent());
    if (it == aTable.mIntents.end()) {
      continue;
    }
    auto& intent = it->second;
    const auto* task = LiveTask(intent, report, aReports.Rack());
    if (task != nullptr && FoldLiveReport(aTable, intent, IntentTaskStatus(*task), report, aAt)) {
      ResetBrokenGang(aTable, intent, aAt);
      UpdateState(aTable, intent, aAt);
      changed = true;
    }
  }
  return changed;
}

} // namespace by::detail
