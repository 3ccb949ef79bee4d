#include "by_cell/detail/Runs.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/OrderNumber.h"
#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/FailedRuns.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_cell/detail/WorkerStatistics.h"
#include "by_placement/ResourceMath.h"

namespace by::detail {

namespace {

constexpr std::int64_t kFullPercent = 100;

std::vector<JobTaskKey>
GangMembers(const JobTaskKey& aTask, const StepRow& aStep)
{
  std::vector<JobTaskKey> members;
  for (std::uint32_t i = 0; i < aStep.mCount; ++i) {
    members.push_back(aTask.WithIndex(i));
  }
  return members;
}

bool
IsGang(CellState& aState, const JobTaskKey& aTask)
{
  const auto* job = FindJob(aState, aTask.Job());
  return job != nullptr && StepOf(*job, aTask.Step()).Gang();
}

StepRow&
StepRowOf(JobRow& aJob, const JobTaskKey& aTask)
{
  return aJob.mOccurrences.at(aTask.Occurrence()).mSteps[aTask.Step()];
}

/// Marks all members as done; the end of one member stands for all of them.
void
FinishGang(CellState& aState, JobRow& aJob, const JobTaskKey& aTask)
{
  for (const auto& member : GangMembers(aTask, StepRowOf(aJob, aTask))) {
    ChangeProgress(aState, member, [](auto& aFields) {
      aFields.mPhase = JobTaskPhase::Done;
      aFields.mCheckpoint.clear();
    });
  }
}

void
FinishTask(CellState& aState, JobRow& aJob, const JobTaskKey& aTask, Time aNow, Effects& aOut)
{
  const auto& step = StepOf(aJob, aTask.Step());
  if (step.LongRunning()) {
    Requeue(aState, aTask, aNow, aOut);
    return;
  }
  if (step.Gang()) {
    FinishGang(aState, aJob, aTask);
  } else {
    ChangeProgress(aState, aTask, [](auto& aFields) {
      aFields.mPhase = JobTaskPhase::Done;
      aFields.mCheckpoint.clear();
    });
  }
  UpdateCompletion(aState, aJob, aTask.Occurrence(), aTask.Step(), aNow, aOut);
}

void
ClearWorker(CellState& aState, const JobTaskKey& aTask)
{
  ChangeProgress(aState, aTask, [](auto& aFields) { aFields.mWorker.clear(); });
}

bool
HasRun(const CellState& aState, const std::string& aWorker, const RunId& aRun)
{
  const auto it = aState.mWorkers.find(aWorker);
  return it != aState.mWorkers.end() && it->second.mRuns.contains(aRun);
}

void
StoreCheckpoint(CellState& aState, const JobTaskKey& aTask, const std::string& aCheckpoint)
{
  auto* job = FindJob(aState, aTask.Job());
  if (aCheckpoint.empty() || job == nullptr || !StepOf(*job, aTask.Step()).Checkpointing()) {
    return;
  }
  const auto members = StepOf(*job, aTask.Step()).Gang()
                         ? GangMembers(aTask, StepRowOf(*job, aTask))
                         : std::vector<JobTaskKey>{ aTask };
  for (const auto& member : members) {
    ChangeProgress(aState, member, [&](auto& aFields) { aFields.mCheckpoint = aCheckpoint; });
  }
}

} // namespace

RunRow&
AddRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun, RunRow aRow)
{
  auto [it, isNew] = aWorker.mRuns.emplace(aRun, std::move(aRow));
  if (isNew) {
    ChargeRun(aState, aWorker, aRun, it->second);
    aWorker.mUsed = Plus(aWorker.mUsed, it->second.mDemand);
    aWorker.mTrials += it->second.mProbation > Time() ? 1 : 0;
    aWorker.mUnknownRuns += it->second.mIsDemandUnknown ? 1 : 0;
    if (auto* task = FindTask(aState, aRun.mTask)) {
      ++task->mLiveRuns;
    }
  }
  return it->second;
}

void
ConfirmRun(CellState& aState, const RunId& aRun, RunRow& aRow, Time aNow)
{
  if (aRow.mPhase == RunPhase::Confirmed) {
    return;
  }
  aRow.mPhase = RunPhase::Confirmed;
  aRow.mPhaseSince = aNow;
  aRow.mProgressAt = aNow;
  aRow.mStartRetryAt = Time::Never();
  if (auto* job = FindJob(aState, aRun.mTask.Job())) {
    MarkJobStarted(aState, *job);
  }
}

void
RemoveRun(CellState& aState, WorkerRow& aWorker, const RunId& aRun)
{
  const auto it = aWorker.mRuns.find(aRun);
  if (it == aWorker.mRuns.end()) {
    return;
  }
  ReleaseRun(aState, it->second);
  aWorker.mUsed = Minus(aWorker.mUsed, it->second.mDemand);
  aWorker.mTrials -= it->second.mProbation > Time() ? 1 : 0;
  aWorker.mUnknownRuns -= it->second.mIsDemandUnknown ? 1 : 0;
  aWorker.mRuns.erase(it);
  aState.mPlacementNeeded = true;
  auto* task = FindTask(aState, aRun.mTask);
  if (task != nullptr && task->mLiveRuns > 0) {
    --task->mLiveRuns;
    if (task->mProgress.Phase() == JobTaskPhase::Waiting && task->mProgress.Run() == aRun.mRun &&
        task->mProgress.Worker() == aWorker.mRegistration.Id()) {
      ClearWorker(aState, aRun.mTask);
    }
    RefreshStep(
      aState, *FindJob(aState, aRun.mTask.Job()), aRun.mTask.Occurrence(), aRun.mTask.Step());
  }
}

void
EndRun(CellState& aState,
       WorkerRow& aWorker,
       const RunId& aRun,
       RunEnd aEnd,
       const std::string& aCheckpoint,
       Time aNow,
       Effects& aOut)
{
  const auto it = aWorker.mRuns.find(aRun);
  const bool known = it != aWorker.mRuns.end();
  Log(aOut,
      "run.ended",
      FormatRunId(aRun),
      absl::StrCat("worker=",
                   aWorker.mRegistration.Id(),
                   " how=",
                   std::string(ToString(aEnd)),
                   " known=",
                   known,
                   " ran_ms=",
                   known ? (aNow - it->second.mOrderedAt).Milliseconds() : 0));
  if (known) {
    if (aEnd == RunEnd::Done) {
      UpdateSlowness(aWorker, it->second, aNow);
    }
    UpdateFailures(aState, aWorker, aRun, aEnd, aNow, aOut);
    RemoveRun(aState, aWorker, aRun);
  }
  auto* job = FindJob(aState, aRun.mTask.Job());
  auto* task = FindTask(aState, aRun.mTask);
  if (job != nullptr) {
    MarkJobStarted(aState, *job);
  }
  if (job == nullptr || task == nullptr || task->mProgress.Phase() == JobTaskPhase::Done) {
    return;
  }
  const bool isCurrent = task->mProgress.Phase() == JobTaskPhase::Assigned &&
                         task->mProgress.Run() == aRun.mRun &&
                         task->mProgress.Worker() == aWorker.mRegistration.Id();
  // A finished task counts even if its worker was lost and another run has been started.
  const bool isLateDone = aEnd == RunEnd::Done && !isCurrent;
  if (aEnd == RunEnd::Failed) {
    FailTask(aState, *job, aRun, aWorker.mRegistration.Id(), aNow, aOut);
  }
  if ((!isCurrent && !isLateDone) || FindTask(aState, aRun.mTask) == nullptr) {
    return;
  }
  StoreCheckpoint(aState, aRun.mTask, aCheckpoint);
  if (isLateDone) {
    Requeue(aState, aRun.mTask, aNow, aOut);
  }
  if (aEnd == RunEnd::Done) {
    FinishTask(aState, *job, aRun.mTask, aNow, aOut);
  } else {
    Requeue(aState, aRun.mTask, aNow, aOut);
  }
}

void
EndAllRuns(CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut)
{
  std::vector<RunId> runs;
  for (const auto& [run, row] : aWorker.mRuns) {
    runs.push_back(run);
  }
  for (const auto& run : runs) {
    EndRun(aState, aWorker, run, aEnd, "", aNow, aOut);
  }
}

void
RequestStop(CellState& aState,
            const std::string& aWorker,
            const RunId& aRun,
            Time aNow,
            Effects& aOut)
{
  const auto worker = aState.mWorkers.find(aWorker);
  if (worker == aState.mWorkers.end()) {
    return;
  }
  const auto it = worker->second.mRuns.find(aRun);
  if (it == worker->second.mRuns.end() || it->second.mStopRequested) {
    return;
  }
  if (it->second.mPhase == RunPhase::Planned) {
    RemoveRun(aState, worker->second, aRun);
    return;
  }
  it->second.mStopRequested = true;
  it->second.mStartRetryAt = Time::Never();
  if (it->second.mPhase != RunPhase::Inherited) {
    SendStop(aState, worker->second, aRun, aNow, aOut);
  }
  SchedulePoll(aState, worker->second, aNow);
}

void
SendStart(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut)
{
  auto& row = aWorker.mRuns.at(aRun);
  auto* job = FindJob(aState, aRun.mTask.Job());
  auto* task = FindTask(aState, aRun.mTask);
  if (job == nullptr || task == nullptr) {
    return;
  }
  const auto& advice =
    job->mOccurrences.at(aRun.mTask.Occurrence()).mSteps[aRun.mTask.Step()].mAdvice;
  const auto* ticket = FindTicket(advice, aWorker);
  const auto lease = NextLeaseEnd(aState, aWorker, aNow);
  aWorker.mLeaseSent = std::max(aWorker.mLeaseSent, lease);
  if (row.mPhase == RunPhase::Planned) {
    row.mPhase = RunPhase::Ordered;
    row.mOrderedAt = aNow;
    row.mPhaseSince = aNow;
    row.mAliveInReport = aWorker.mReports;
  }
  row.mStartInFlight = true;
  row.mStartRetryAt = Time::Never();
  Emit(aOut,
       StartRun::Create({ .mWorker = aWorker.mRegistration.Id(),
                          .mEndpoint = aWorker.mRegistration.Endpoint(),
                          .mTask = aRun.mTask,
                          .mRun = aRun.mRun,
                          .mPayload = job->mJob.Definition().Payload(),
                          .mLeaseUntil = lease,
                          .mEpoch = aState.mEpoch,
                          .mCheckpoint = task->mProgress.Checkpoint(),
                          .mTicket = ticket == nullptr ? std::string() : ticket->mText,
                          .mNumber = OrderNumber(aState.mEpoch),
                          .mProcessStart = aWorker.mProcessStart })
         .value());
}

void
SendStop(CellState& aState, WorkerRow& aWorker, const RunId& aRun, Time aNow, Effects& aOut)
{
  auto& row = aWorker.mRuns.at(aRun);
  row.mStopInFlight = true;
  row.mStopSentAt = aNow;
  row.mStopRetryAt = Time::Never();
  Emit(aOut,
       StopRun::Create({ .mWorker = aWorker.mRegistration.Id(),
                         .mEndpoint = aWorker.mRegistration.Endpoint(),
                         .mTask = aRun.mTask,
                         .mRun = aRun.mRun,
                         .mEpoch = aState.mEpoch,
                         .mNumber = OrderNumber(aState.mEpoch) })
         .value());
}

void
Requeue(CellState& aState, const JobTaskKey& aTask, Time aNow, Effects& aOut)
{
  auto* job = FindJob(aState, aTask.Job());
  if (job == nullptr) {
    return;
  }
  const auto members = IsGang(aState, aTask) ? GangMembers(aTask, StepRowOf(*job, aTask))
                                             : std::vector<JobTaskKey>{ aTask };
  for (const auto& member : members) {
    auto* task = FindTask(aState, member);
    if (task->mProgress.Phase() != JobTaskPhase::Assigned) {
      continue;
    }
    const auto worker = task->mProgress.Worker();
    const RunId run{ member, task->mProgress.Run() };
    // The record names the worker until the run has ended, so that a successor knows of the run.
    ChangeProgress(aState, member, [](auto& aFields) { aFields.mPhase = JobTaskPhase::Waiting; });
    if (HasRun(aState, worker, run)) {
      RequestStop(aState, worker, run, aNow, aOut);
    } else {
      ClearWorker(aState, member);
    }
  }
  RefreshStep(aState, *job, aTask.Occurrence(), aTask.Step());
}

bool
MayGrantLeases(const CellState& aState, Time aNow)
{
  return aNow < aState.mConfirmedAt + aState.mSettings.AuthorityTimeout();
}

Time
NextLeaseEnd(const CellState& aState, const WorkerRow& aWorker, Time aNow)
{
  // A successor that reads the clock takes what is left for one lease time at most, so the lease is
  // reckoned on the slowest clock.
  const auto clock = aWorker.mWorkerClock +
                     (aNow - aWorker.mWorkerClockReadAt) * kSlowestClockPercent / kFullPercent;
  return clock + std::min(aState.mSettings.Lease(), aState.mSettings.MaxLease());
}

void
SchedulePoll(CellState& aState, WorkerRow& aWorker, Time aTime)
{
  if (aTime < aWorker.mNextPoll) {
    aWorker.mNextPoll = aTime;
    aState.mPollQueue.emplace(aTime, aWorker.mRegistration.Id());
  }
}

} // namespace by::detail
