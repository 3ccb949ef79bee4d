#include "by_cell/detail/Crashes.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Tables.h"
#include "by_crashes/by_crashes.h"

namespace by::detail {

namespace {

/// Runs that a line of the log names.
constexpr std::size_t kMaxNamedRuns = 4;

RunAtCrash
FactsOf(CellState& aState, const WorkerRow& aWorker, const RunId& aRun, const RunRow& aRow)
{
  const auto answered = aWorker.mWorkerClockReadAt;
  const auto* task = FindTask(aState, aRun.mTask);
  // An owner that inherited a run knows when it first saw it, not when it began.
  const auto began = aRow.mOrderedAt > Time() ? aRow.mOrderedAt : aRow.mPhaseSince;
  const bool isSeen = aRow.mPhase == RunPhase::Confirmed;
  return { .mJob = aRun.mTask.Job(),
           .mSurvived = isSeen ? std::max(Time(), answered - began) : Time(),
           .mProbation = ProbationOf(task == nullptr ? CrashHistory() : task->mCrashes),
           .mHasStarted = isSeen || (aRow.mPhase == RunPhase::Ordered &&
                                     IsAnswerRecent(answered, aRow.mOrderedAt)) };
}

std::vector<CrashRole>
RolesOf(const std::vector<LostRun>& aRuns)
{
  std::vector<RunAtCrash> facts;
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

void
RecordCrash(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut)
{
  const auto& id = aWorker.mRegistration.Id();
  auto runs = ActiveRuns(aState, aWorker);
  runs.insert(runs.end(), aWorker.mLostRuns.begin(), aWorker.mLostRuns.end());
  aWorker.mLostRuns.clear();
  aState.mLostWorkers.erase(id);
  if (runs.empty() || aWorker.mRegistration.Draining() || aWorker.mEvacuating) {
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
}

void
RecordReplacedWorkers(CellState& aState,
                      const WorkerRegistration& aEntry,
                      Time aNow,
                      Effects& aOut)
{
  if (aEntry.Machine().empty()) {
    return;
  }
  const auto lost = aState.mLostWorkers;
  for (const auto& id : lost) {
    auto& worker = aState.mWorkers.at(id);
    if (id != aEntry.Id() && worker.mRegistration.Machine() == aEntry.Machine() &&
        worker.mProcessStart < aEntry.ProcessStart()) {
      RecordCrash(aState, worker, "its machine runs a new worker", aNow, aOut);
    }
  }
}

} // namespace by::detail
