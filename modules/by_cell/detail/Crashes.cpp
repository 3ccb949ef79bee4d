#include "by_cell/detail/Crashes.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/CrashStatistics.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/SuspectedTasks.h"
#include "by_cell/detail/Tables.h"
#include "by_crashes/by_crashes.h"

namespace by::detail {

namespace {

/// Runs that a line of the log names.
constexpr std::size_t kMaxNamedRuns = 4;
constexpr const char* kReplaced = "its machine runs a new worker";
/// How long crashes are kept to be compared with others; longer than a worker takes to come back.
constexpr Time kCrashRetention = Time::FromSeconds(10);

/// An owner that inherited a run knows when it first saw it, not when it began.
Time
KnownStartOf(const RunRow& aRow)
{
  return aRow.mOrderedAt > Time() ? aRow.mOrderedAt : aRow.mPhaseSince;
}

/// @returns how long after the start of a run its worker still answered. The order may have arrived
/// late, or only when it was sent again, so that the run is as old as its confirmation at the
/// least.
Time
SurvivedOf(const WorkerRow& aWorker, const RunRow& aRow)
{
  return aRow.mPhase == RunPhase::Confirmed
           ? std::max(Time(), aWorker.mWorkerClockReadAt - aRow.mPhaseSince)
           : Time();
}

RunAtCrash
FactsOf(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, const RunRow& aRow)
{
  const auto answered = aWorker.mWorkerClockReadAt;
  const auto* task = FindTask(aState, aRun.mTask);
  const auto history = task == nullptr ? CrashHistory() : task->mCrashes;
  const auto silent = aWorker.mSilentSince == Time::Never() ? answered : aWorker.mSilentSince;
  const bool isSeen = aRow.mPhase == RunPhase::Confirmed;
  // The worker of a trial answers just before it is placed, also where an earlier owner did it.
  const bool isInheritedTrial = aRow.mPhase == RunPhase::Inherited && aRow.mProbation > Time();
  return { .mJob = aRun.mTask.Job(),
           .mSurvived = SurvivedOf(aWorker, aRow),
           .mSilentAfter = std::max(Time(), silent - KnownStartOf(aRow)),
           .mProbation = ProbationOf(history),
           .mIsTrial = NeedsTrial(history),
           .mHasStarted =
             isSeen || isInheritedTrial ||
             (aRow.mPhase == RunPhase::Ordered && IsAnswerRecent(answered, aRow.mOrderedAt)),
           .mIsConfirmed = isSeen };
}

std::vector<CrashRole>
RolesOf(const std::vector<LostRun>& aRuns)
{
  std::vector<RunAtCrash> facts;
  facts.reserve(aRuns.size());
  for (const auto& run : aRuns) {
    facts.push_back(run.mFacts);
  }
  return AttributeCrash(facts);
}

std::string
FormatSuspects(const std::vector<LostRun>& aRuns, const std::vector<CrashRole>& aRoles)
{
  std::string text;
  std::size_t n = 0;
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    if (aRoles[i] != CrashRole::Bystander && n++ < kMaxNamedRuns) {
      absl::StrAppend(&text, text.empty() ? "" : ",", FormatRunId(aRuns[i].mRun));
    }
  }
  return n > kMaxNamedRuns ? absl::StrCat(text, ",...") : text;
}

/// @returns whether a worker's machine runs a newer worker.
bool
IsReplacedBy(const WorkerRow& aWorker, const WorkerRegistration& aEntry)
{
  const auto& old = aWorker.mRegistration;
  return !aEntry.Machine().empty() && aEntry.Machine() == old.Machine() &&
         aEntry.Id() != old.Id() && aWorker.mProcessStart < aEntry.ProcessStart();
}

/// A task that has crashed a worker in a trial is the cause of its earlier crashes too.
void
ExplainEarlierCrashes(CellState& aState, const JobTaskKey& aTask)
{
  for (auto& crash : aState.mCrashes) {
    crash.mIsExplained =
      crash.mIsExplained ||
      std::any_of(crash.mRuns.begin(), crash.mRuns.end(), [&](const RunInCrash& aRun) {
        return aRun.mRun.mTask == aTask && aRun.mRole != CrashRole::Bystander;
      });
  }
}

void
Settle(CellState& aState, const WorkerCrash& aCrash, Time aNow, Effects& aOut)
{
  const char* scope = ScopeOfWideLoss(aState, aCrash);
  if (scope != nullptr) {
    Log(aOut,
        "crash.dismissed",
        aCrash.mWorker,
        absl::StrCat("reason=its ",
                     scope,
                     " was lost with it pool=",
                     aCrash.mPool,
                     " rack=",
                     aCrash.mRack.Text()));
  } else {
    Weigh(aState, aCrash, aOut);
  }
  for (const auto& run : aCrash.mRuns) {
    const auto& key = run.mRun.mTask;
    auto* task = FindTask(aState, key);
    if (task == nullptr) {
      continue;
    }
    task->mIsCrashOpen = false;
    if (scope != nullptr) {
      task->mCrashes = WithBlame(task->mCrashes, run.mRun.mRun, 0);
      if (task->mCrashesRecorded) {
        MarkCrashesChanged(aState, key, *task);
      }
    }
    RefreshSuspects(aState, key, *task);
    GiveUpIfHopeless(aState, key, aNow, aOut);
  }
}

} // namespace

std::vector<LostRun>
ActiveRuns(CellState& aState, const WorkerRow& aWorker)
{
  std::vector<LostRun> runs;
  for (const auto& [run, row] : aWorker.mRuns) {
    if (row.mPhase != RunPhase::Planned) {
      runs.push_back({ run, FactsOf(aState, aWorker, run, row) });
    }
  }
  return runs;
}

bool
MayHaveCrashedUnseen(const WorkerRow& aWorker, const LostRun& aRun)
{
  return !aWorker.mRegistration.Draining() && !aWorker.mEvacuating &&
         aRun.mFacts.mSurvived < aRun.mFacts.mProbation;
}

void
RecordCrash(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut)
{
  const auto& id = aWorker.mRegistration.Id();
  auto runs = ActiveRuns(aState, aWorker);
  runs.insert(runs.end(), aWorker.mLostRuns.begin(), aWorker.mLostRuns.end());
  aWorker.mLostRuns.clear();
  aState.mLostWorkers.erase(id);
  if (aWorker.mRegistration.Draining() || aWorker.mEvacuating) {
    return;
  }
  // Each call that another worker answers at its address shows the same end, and so does the
  // registry.
  if (std::exchange(aWorker.mIsCrashRecorded, true)) {
    return;
  }
  const auto roles = RolesOf(runs);
  const auto isSuspect = [](CrashRole aRole) { return aRole != CrashRole::Bystander; };
  Log(aOut,
      "worker.crashed",
      id,
      absl::StrCat("reason=",
                   aReason,
                   " runs=",
                   runs.size(),
                   " suspects=",
                   std::count_if(roles.begin(), roles.end(), isSuspect),
                   " suspected=",
                   FormatSuspects(runs, roles),
                   " silent_ms=",
                   (aNow - std::min(aNow, aWorker.mSilentSince)).Milliseconds()));
  WorkerCrash crash{ .mWorker = id,
                     .mMachine = aWorker.mRegistration.Machine(),
                     .mPool = aWorker.mRegistration.Pool(),
                     .mRack = aWorker.mRegistration.Rack(),
                     .mLostAt = std::min(aNow, aWorker.mSilentSince),
                     .mNoticedAt = aNow,
                     .mRuns = {} };
  for (std::size_t i = 0; i < runs.size(); ++i) {
    const auto& facts = runs[i].mFacts;
    const bool isOnProbation = facts.mSurvived < facts.mProbation;
    if (facts.mIsTrial && isSuspect(roles[i])) {
      crash.mIsExplained = true;
      ExplainEarlierCrashes(aState, runs[i].mRun.mTask);
    }
    crash.mRuns.push_back({ .mRun = runs[i].mRun,
                            .mRole = roles[i],
                            .mSilentAfter = facts.mSilentAfter,
                            .mExposure = isOnProbation ? facts.mProbation : Time() });
    AddToHistory(aState, crash.mRuns.back(), aNow);
  }
  // The evidence is stored before the next start of a task, and weighed again once it is known
  // which workers were lost at the same time.
  Weigh(aState, crash, aOut);
  for (const auto& run : crash.mRuns) {
    if (const auto* task = FindTask(aState, run.mRun.mTask)) {
      RefreshSuspects(aState, run.mRun.mTask, *task);
    }
  }
  aState.mCrashes.push_back(std::move(crash));
}

void
EndProbationIfOver(CellState& aState,
                   WorkerRow& aWorker,
                   const RunId& aRun,
                   RunRow& aRow,
                   Time aNow,
                   Effects& aOut)
{
  if (aRow.mProbation == Time() || aNow < KnownStartOf(aRow) + aRow.mProbation) {
    return;
  }
  aRow.mProbation = Time();
  --aWorker.mTrials;
  aState.mPlacementNeeded = true;
  Log(aOut,
      "trial.passed",
      FormatRunId(aRun),
      absl::StrCat("worker=",
                   aWorker.mRegistration.Id(),
                   " ran_ms=",
                   (aNow - KnownStartOf(aRow)).Milliseconds()));
  if (auto* job = FindJob(aState, aRun.mTask.Job())) {
    RefreshStep(aState, *job, aRun.mTask.Occurrence(), aRun.mTask.Step());
  }
}

bool
HasRunOnProbation(const WorkerRow& aWorker)
{
  const auto usual = ProbationOf(CrashHistory());
  return std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
    const auto& row = aEntry.second;
    return SurvivedOf(aWorker, row) < std::max(usual, row.mProbation);
  });
}

void
RecordReplacedWorkers(CellState& aState, const WorkerRegistration& aEntry, Time aNow, Effects& aOut)
{
  const auto lost = aState.mLostWorkers;
  for (const auto& id : lost) {
    auto& worker = aState.mWorkers.at(id);
    if (IsReplacedBy(worker, aEntry)) {
      RecordCrash(aState, worker, kReplaced, aNow, aOut);
    }
  }
}

void
RecordIfReplaced(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  const bool isReplaced =
    std::any_of(aState.mWorkers.begin(), aState.mWorkers.end(), [&](const auto& aEntry) {
      return aEntry.second.mRegistered && IsReplacedBy(aWorker, aEntry.second.mRegistration);
    });
  if (isReplaced) {
    RecordCrash(aState, aWorker, kReplaced, aNow, aOut);
  }
}

void
SettleCrashes(CellState& aState, Time aNow, Effects& aOut)
{
  auto& crashes = aState.mCrashes;
  while (!crashes.empty() && crashes.front().mIsSettled &&
         aNow > crashes.front().mNoticedAt + kCrashRetention) {
    crashes.pop_front();
  }
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    // Workers that were lost at the same time have fallen silent by then.
    if (!crashes[i].mIsSettled && aNow >= crashes[i].mLostAt + kWideLossWindow) {
      crashes[i].mIsSettled = true;
      const auto crash = crashes[i];
      Settle(aState, crash, aNow, aOut);
    }
  }
}

} // namespace by::detail
