#include "by_cell/detail/WorkerStatistics.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"

namespace by::detail {

namespace {

/// Weight of a new sample in the moving average of a worker's slowness.
constexpr double kSlownessWeight = 0.2;
/// Upper bound of a sample, since a few tasks take many times as long on any worker.
constexpr double kMaxSlownessSample = 3.0;
/// Lower bound of a sample.
constexpr double kMinSlownessSample = 0.3;
/// A long-running task never ends as done, so it proves its worker by being at work for this long.
constexpr Time kProbeTime = Time::FromMilliseconds(1000);
constexpr std::uint32_t kFullPercent = 100;
/// The members of a gang on fewer workers may well fail by as many faulty workers.
constexpr std::size_t kMinWorkersOfGang = 3;

Time
StartOf(const RunRow& aRun)
{
  return aRun.mOrderedAt > Time() ? aRun.mOrderedAt : aRun.mPhaseSince;
}

void
ClearFailures(WorkerRow& aWorker)
{
  aWorker.mConsecutiveFailures = 0;
  aWorker.mLastFailedRun.reset();
  aWorker.mQuarantinedUntil = Time();
}

/// @returns whether the last failure of a worker is of a member of a gang's run.
bool
IsLastFailureOf(const WorkerRow& aWorker, const RunId& aRun)
{
  const auto& last = aWorker.mLastFailedRun;
  return last && last->mRun == aRun.mRun && last->mTask.WithIndex(0) == aRun.mTask.WithIndex(0);
}

/// Notes that a run has failed. The members of a gang's run end together, by one fault, so that the
/// failures of several of them on a worker are one observation.
/// @returns whether it is the first that is noted of its gang's run there; true for other tasks.
bool
NoteFailure(WorkerRow& aWorker, const RunId& aRun)
{
  const auto failed = aWorker.mRuns.find(aRun);
  if (failed == aWorker.mRuns.end() || !failed->second.mIsGangMember) {
    return true;
  }
  if (failed->second.mIsFailureCounted) {
    return false;
  }
  const auto first = aRun.mTask.WithIndex(0);
  for (auto it = aWorker.mRuns.lower_bound({ first, 0 });
       it != aWorker.mRuns.end() && it->first.mTask.WithIndex(0) == first;
       ++it) {
    if (it->first.mRun == aRun.mRun) {
      it->second.mIsFailureCounted = true;
    }
  }
  return true;
}

} // namespace

void
UpdateSlowness(WorkerRow& aWorker, const RunRow& aRun, Time aNow)
{
  if (aRun.mPhase != RunPhase::Confirmed || aRun.mEstimate <= Time() || aRun.mOrderedAt <= Time()) {
    return;
  }
  const auto took = static_cast<double>((aNow - aRun.mOrderedAt).Milliseconds());
  const auto ratio = std::clamp(took / static_cast<double>(aRun.mEstimate.Milliseconds()),
                                kMinSlownessSample,
                                kMaxSlownessSample);
  aWorker.mSlowness += kSlownessWeight * (ratio - aWorker.mSlowness);
}

bool
IsProbed(const WorkerRow& aWorker)
{
  return aWorker.mQuarantinedUntil > Time() &&
         std::any_of(aWorker.mRuns.begin(), aWorker.mRuns.end(), [&](const auto& aEntry) {
           return StartOf(aEntry.second) >= aWorker.mQuarantinedUntil;
         });
}

std::uint32_t
ProbeLimit(const WorkerRow& aWorker, const JobStep& aStep)
{
  const bool isQuarantined = aWorker.mQuarantinedUntil > Time();
  return isQuarantined && !aStep.Gang() ? std::min(aStep.Count(), 1U) : aStep.Count();
}

bool
EndQuarantineIfProven(WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  if (aWorker.mQuarantinedUntil == Time()) {
    return false;
  }
  for (const auto& [run, row] : aWorker.mRuns) {
    const auto start = StartOf(row);
    const auto answered = aWorker.mWorkerClockReadAt;
    const bool isAtWork = row.mPhase == RunPhase::Confirmed && row.mPercent >= kFullPercent;
    if (row.mIsLongRunning && isAtWork && start >= aWorker.mQuarantinedUntil &&
        answered >= start + kProbeTime) {
      ClearFailures(aWorker);
      Log(
        aOut,
        "worker.proven",
        aWorker.mRegistration.Id(),
        absl::StrCat("run=", FormatRunId(run), " ordered_ms_ago=", (aNow - start).Milliseconds()));
      return true;
    }
  }
  return false;
}

void
UpdateFailures(const CellState& aState,
               WorkerRow& aWorker,
               const RunId& aRun,
               RunEnd aEnd,
               Time aNow,
               Effects& aOut)
{
  if (aEnd == RunEnd::Done) {
    ClearFailures(aWorker);
    return;
  }
  if (aEnd != RunEnd::Failed || !NoteFailure(aWorker, aRun)) {
    return;
  }
  ++aWorker.mConsecutiveFailures;
  aWorker.mQuarantinedBefore = aWorker.mQuarantinedUntil;
  const auto before = std::exchange(aWorker.mLastFailedRun, aRun);
  if (aWorker.mConsecutiveFailures >= aState.mSettings.FailureLimit()) {
    aWorker.mQuarantinedUntil = aNow + aState.mSettings.QuarantineTime();
    Log(aOut,
        "worker.aside",
        aWorker.mRegistration.Id(),
        absl::StrCat("failures_in_a_row=",
                     aWorker.mConsecutiveFailures,
                     " for_ms=",
                     aState.mSettings.QuarantineTime().Milliseconds(),
                     " run=",
                     FormatRunId(aRun),
                     " run_before=",
                     before ? FormatRunId(*before) : std::string("none")));
  }
}

void
WithdrawFailures(CellState& aState,
                 const RunId& aRun,
                 const std::set<std::string>& aWorkers,
                 Effects& aOut)
{
  std::vector<WorkerRow*> workers;
  for (const auto& id : aWorkers) {
    const auto it = aState.mWorkers.find(id);
    if (it != aState.mWorkers.end() && IsLastFailureOf(it->second, aRun)) {
      workers.push_back(&it->second);
    }
  }
  if (workers.size() < kMinWorkersOfGang) {
    return;
  }
  std::size_t aside = 0;
  for (auto* worker : workers) {
    --worker->mConsecutiveFailures;
    worker->mLastFailedRun.reset();
    aside += worker->mQuarantinedUntil != worker->mQuarantinedBefore ? 1 : 0;
    worker->mQuarantinedUntil = worker->mQuarantinedBefore;
  }
  aState.mPlacementNeeded = true;
  Log(aOut,
      "gang.all_failed",
      FormatRunId(aRun),
      absl::StrCat("workers=", workers.size(), " no_longer_aside=", aside));
}

} // namespace by::detail
