#include "by_cell/detail/Trials.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Assignment.h"
#include "by_cell/detail/CrashStatistics.h"
#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/StepCapacity.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_crashes/by_crashes.h"
#include "by_placement/ResourceMath.h"

namespace by::detail {

namespace {

/// A hold that is not renewed ends after this; longer than the interval between placement passes.
constexpr Time kHoldTime = Time::FromMilliseconds(500);
/// How long a weakly suspected task waits for a trial of its own.
constexpr Time kWeakSuspectWait = Time::FromMilliseconds(1000);
/// How long a task waits until few workers crash for reasons of their own.
constexpr Time kCalmWait = Time::FromMilliseconds(5000);
constexpr Time kLongRunningCalmWait = Time::FromMilliseconds(1000);
/// Interval between two lines of the log that say why a trial waits.
constexpr Time kWaitReportInterval = Time::FromMilliseconds(1000);

/// The suspected tasks of a step.
struct Suspects
{
  /// The indices of those that can be placed.
  std::vector<std::uint32_t> mWaiting;
  /// Whether one is on trial, or its last crash has not been judged yet.
  bool mIsTrialOpen{ false };
  /// How many others wait until few workers crash for reasons of their own.
  std::size_t mWaitingForCalm{ 0 };
  /// How many of those that can be placed are weakly suspected.
  std::size_t mWeak{ 0 };
};

bool
IsOnTrial(const CellState& aState, const JobTaskKey& aTask, const TaskRow& aRow)
{
  const auto worker = aState.mWorkers.find(aRow.mProgress.Worker());
  if (worker == aState.mWorkers.end()) {
    return false;
  }
  const auto run = worker->second.mRuns.find({ aTask, aRow.mProgress.Run() });
  return run != worker->second.mRuns.end() && run->second.mProbation > Time();
}

Suspects
FindSuspects(const CellState& aState, const JobRow& aJob, const ReadyKey& aKey, bool aIsCalm)
{
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto& step = occurrence.mSteps[aKey.mStep];
  Suspects suspects;
  for (std::uint32_t i = 0; i < step.mCount; ++i) {
    const auto& task = occurrence.mTasks[step.mFirst + i];
    if (!NeedsTrial(task.mCrashes) || task.mProgress.Phase() == JobTaskPhase::Done) {
      continue;
    }
    if (CanBePlaced(task) && NeedsCalmTrial(task.mCrashes) && !aIsCalm) {
      ++suspects.mWaitingForCalm;
    } else if (CanBePlaced(task)) {
      suspects.mWaiting.push_back(i);
      suspects.mWeak += IsWeaklySuspected(task.mCrashes) ? 1 : 0;
    } else if (task.mIsCrashOpen || IsOnTrial(aState, TaskOf(aKey, i), task)) {
      suspects.mIsTrialOpen = true;
    }
  }
  return suspects;
}

TrialPool&
TrialPoolOf(PlacementPass& aPass, const std::string& aPool)
{
  auto [it, isNew] = aPass.mTrialPools.try_emplace(aPool);
  auto& pool = it->second;
  if (isNew) {
    const auto& workers = PoolOf(aPass, aPool);
    pool.mLimit = TrialLimit(workers.size());
    pool.mIsCalm = IsCalm(CountPoolCrashes(aPass.mState, aPool, aPass.mNow, ""));
    for (const auto* worker : workers) {
      if (HasRunOnProbation(*worker)) {
        pool.mWithProbation.insert(worker);
      }
    }
    // A worker that crashed under its trial counts until it is back.
    for (const auto& [id, worker] : aPass.mState.mWorkers) {
      pool.mOnTrial += worker.mTrials > 0 && worker.mRegistration.Pool() == aPool ? 1 : 0;
    }
  }
  return pool;
}

/// @returns how many runs the crash of a worker would end: its own, and all of a gang with members
/// there.
std::size_t
CountRunsAtRisk(CellState& aState, const WorkerRow& aWorker)
{
  std::size_t runs = 0;
  const JobTaskKey* member = nullptr;
  // The members of a gang follow each other.
  for (const auto& [run, row] : aWorker.mRuns) {
    const auto& task = run.mTask;
    const auto* job = row.mIsGangMember ? FindJob(aState, task.Job()) : nullptr;
    // The job may be a later one of the same name.
    if (job == nullptr || task.Step() >= job->mJob.Definition().Steps().size()) {
      ++runs;
    } else if (member == nullptr || member->Job() != task.Job() ||
               member->Occurrence() != task.Occurrence() || member->Step() != task.Step()) {
      runs += StepOf(*job, task.Step()).Count();
      member = &task;
    }
  }
  return runs;
}

std::vector<TrialHost>
ListHosts(PlacementPass& aPass,
          const TrialPool& aPool,
          const JobStep& aStep,
          const JobTaskKey& aTask,
          const Candidates& aCandidates)
{
  std::vector<TrialHost> hosts;
  for (const auto* worker : aCandidates) {
    const bool isUsable = worker->mTrials == 0 && !aPool.mPromised.contains(worker);
    hosts.push_back(
      { .mSlots =
          isUsable ? ForecastSlots(*worker, aStep, aTask, aPass.mNow, aPass.mNow).mSlots : 0,
        .mRuns = isUsable ? CountRunsAtRisk(aPass.mState, *worker) : 0,
        .mHasProbation = aPool.mWithProbation.contains(worker),
        .mAnsweredAt = worker->mWorkerClockReadAt });
  }
  return hosts;
}

void
Promise(PlacementPass& aPass, TrialPool& aPool, WorkerRow& aWorker)
{
  aWorker.mHeldForTrialUntil = aPass.mNow + kHoldTime;
  aPool.mPromised.insert(&aWorker);
}

/// Keeps new tasks off the workers with the fewest runs, so that they become idle for a trial.
/// Each waiting trial holds workers of its own, so that several can begin at the same time.
void
HoldWorkers(PlacementPass& aPass,
            TrialPool& aPool,
            const JobStep& aStep,
            std::size_t aTasks,
            const Candidates& aCandidates)
{
  auto workers = aCandidates;
  std::stable_sort(workers.begin(), workers.end(), [&](const auto* aLeft, const auto* aRight) {
    const auto keyOf = [&](const WorkerRow* aWorker) {
      return std::pair(aWorker->mHeldForTrialUntil <= aPass.mNow, aWorker->mRuns.size());
    };
    return keyOf(aLeft) < keyOf(aRight);
  });
  std::size_t slots = 0;
  for (auto* worker : workers) {
    if (slots >= aTasks) {
      return;
    }
    const auto fits =
      CountFits(EffectiveDemand(aStep), worker->mRegistration.Capacity(), aStep.Count());
    if (worker->mTrials == 0 && !aPool.mPromised.contains(worker) && fits > 0) {
      Promise(aPass, aPool, *worker);
      slots += fits;
    }
  }
}

/// Polls the chosen workers that have not answered lately.
/// @returns whether all of them have.
bool
HaveAnsweredLately(PlacementPass& aPass,
                   TrialPool& aPool,
                   const Candidates& aCandidates,
                   const std::vector<std::size_t>& aHosts)
{
  const auto hasAnswered = [&](std::size_t aHost) {
    return IsAnswerRecent(aCandidates[aHost]->mWorkerClockReadAt, aPass.mNow);
  };
  if (std::all_of(aHosts.begin(), aHosts.end(), hasAnswered)) {
    return true;
  }
  for (const auto i : aHosts) {
    Promise(aPass, aPool, *aCandidates[i]);
    if (!hasAnswered(i)) {
      SchedulePoll(aPass.mState, *aCandidates[i], aPass.mNow);
    }
  }
  return false;
}

/// Logs why the suspected tasks of a step wait, at most once a second.
void
ReportTrialWait(PlacementPass& aPass,
                const ReadyKey& aKey,
                StepRow& aRow,
                const char* aReason,
                const Suspects& aSuspects,
                const TrialPool& aPool)
{
  if (aPass.mNow < aRow.mNextWaitReport) {
    return;
  }
  aRow.mNextWaitReport = aPass.mNow + kWaitReportInterval;
  Log(aPass.mOut,
      "trial.waiting",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("for=",
                   aReason,
                   " suspects=",
                   aSuspects.mWaiting.size() + aSuspects.mWaitingForCalm,
                   " waited_ms=",
                   (aPass.mNow - aRow.mTrialWaitsSince).Milliseconds(),
                   " workers_on_trial=",
                   aPool.mOnTrial,
                   " workers_held=",
                   aPool.mPromised.size(),
                   " limit=",
                   aPool.mLimit));
}

void
AssignTrial(PlacementPass& aPass,
            JobRow& aJob,
            const ReadyKey& aKey,
            const std::vector<std::uint32_t>& aTasks,
            const std::vector<WorkerRow*>& aHosts)
{
  Log(aPass.mOut,
      "trial.placed",
      absl::StrCat(aKey.mJob, ".", aKey.mOccurrence, ".", aKey.mStep),
      absl::StrCat("tasks=",
                   aHosts.size(),
                   " worker=",
                   aHosts.front()->mRegistration.Id(),
                   " runs_there=",
                   aHosts.front()->mRuns.size()));
  if (StepOf(aJob, aKey.mStep).Gang()) {
    AssignGang(aPass, aJob, aKey, aHosts);
    return;
  }
  const auto& occurrence = aJob.mOccurrences.at(aKey.mOccurrence);
  const auto first = occurrence.mSteps[aKey.mStep].mFirst;
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    const auto run = occurrence.mTasks[first + aTasks[i]].mProgress.Run() + 1;
    AssignTask(aPass, aJob, TaskOf(aKey, aTasks[i]), *aHosts[i], run);
  }
}

} // namespace

bool
IsKeptForTrial(const WorkerRow& aWorker, Time aNow)
{
  return aWorker.mTrials > 0 || aWorker.mHeldForTrialUntil > aNow;
}

TrialOutcome
PlaceTrial(PlacementPass& aPass, JobRow& aJob, const ReadyKey& aKey, const Candidates& aCandidates)
{
  auto& state = aPass.mState;
  const auto& step = StepOf(aJob, aKey.mStep);
  auto& row = aJob.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep];
  auto& pool = TrialPoolOf(aPass, PolicyOf(state, aJob).Pool());
  const auto calmWait = step.LongRunning() ? kLongRunningCalmWait : kCalmWait;
  const bool isWaitOver =
    row.mTrialWaitsSince > Time() && aPass.mNow >= row.mTrialWaitsSince + calmWait;
  const auto suspects = FindSuspects(state, aJob, aKey, pool.mIsCalm || isWaitOver);
  // Tasks of one step behave alike, so the others wait for the trial, unless each serves by itself.
  const bool mayPlaceOthers = step.LongRunning() && !step.Gang();
  const auto waiting = mayPlaceOthers ? TrialOutcome::PlaceOthers : TrialOutcome::Wait;
  if (suspects.mWaiting.empty() && suspects.mWaitingForCalm == 0) {
    row.mTrialWaitsSince = Time();
    return suspects.mIsTrialOpen ? waiting : TrialOutcome::PlaceOthers;
  }
  if (suspects.mIsTrialOpen && !mayPlaceOthers) {
    return TrialOutcome::Wait;
  }
  if (row.mTrialWaitsSince == Time()) {
    row.mTrialWaitsSince = aPass.mNow;
  }
  state.mHasWaitingTrials = true;
  const auto report = [&](const char* aReason) {
    ReportTrialWait(aPass, aKey, row, aReason, suspects, pool);
  };
  if (suspects.mWaiting.empty() || (step.Gang() && suspects.mWaitingForCalm > 0)) {
    report("calm");
    return waiting;
  }
  // The members of a gang run beside each other, so that all of them have to be harmless.
  const bool hasWeak =
    step.Gang() ? suspects.mWeak == suspects.mWaiting.size() : suspects.mWeak > 0;
  if (hasWeak && aPass.mNow >= row.mTrialWaitsSince + kWeakSuspectWait) {
    return TrialOutcome::PlaceWeaklySuspected;
  }
  // A long-running task has to be back at work soon, however many others are tried.
  if (!step.LongRunning() && pool.mOnTrial + pool.mPromised.size() >= pool.mLimit) {
    report("limit");
    return TrialOutcome::Wait;
  }
  const auto tasks = step.Gang() ? step.Count() : std::size_t{ 1 };
  const auto listed = ListHosts(aPass, pool, step, TaskOf(aKey, 0), aCandidates);
  const auto chosen = ChooseTrialHosts(listed, tasks, aPass.mNow - row.mTrialWaitsSince);
  if (chosen.empty()) {
    report("workers");
    HoldWorkers(aPass, pool, step, tasks, aCandidates);
    return mayPlaceOthers ? TrialOutcome::PlaceOthers : TrialOutcome::NeedsWorkers;
  }
  if (!HaveAnsweredLately(aPass, pool, aCandidates, chosen)) {
    report("answer");
    return waiting;
  }
  std::vector<WorkerRow*> hosts;
  const auto wanted = step.Gang() ? tasks
                                  : std::min<std::size_t>(suspects.mWaiting.size(),
                                                          CountWithinQuota(state, aJob, step));
  for (const auto i : chosen) {
    for (std::size_t n = 0; n < listed[i].mSlots && hosts.size() < wanted; ++n) {
      hosts.push_back(aCandidates[i]);
    }
  }
  AssignTrial(aPass, aJob, aKey, suspects.mWaiting, hosts);
  for (auto* host : hosts) {
    host->mHeldForTrialUntil = Time();
  }
  pool.mOnTrial += chosen.size();
  row.mTrialWaitsSince = Time();
  RefreshStep(state, aJob, aKey.mOccurrence, aKey.mStep);
  return waiting;
}

} // namespace by::detail
