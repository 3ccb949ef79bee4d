#include "by_cell/detail/Hangs.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// Progress is reported in whole percent, so that a long run may show none for its estimated time
/// divided by this.
constexpr std::int64_t kHangEstimateDivisor = 30;

bool
IsHung(CellState& aState,
       const WorkerRow& aWorker,
       const RunId& aRun,
       const RunRow& aRow,
       Time aNow)
{
  const auto* job = FindJob(aState, aRun.mTask.Job());
  if (job == nullptr || aRow.mPhase != RunPhase::Confirmed || aRow.mStopRequested) {
    return false;
  }
  const auto& step = StepOf(*job, aRun.mTask.Step());
  if (step.LongRunning() || step.Gang() || step.Scavenging()) {
    return false;
  }
  const auto limit =
    std::max(aState.mSettings.HangTimeout(), aRow.mEstimate / kHangEstimateDivisor);
  // Only a report that arrived after the limit proves that there was no progress.
  return aWorker.mWorkerClockReadAt > aRow.mProgressAt + limit && aNow > aRow.mProgressAt + limit;
}

} // namespace

void
StopHungRuns(CellState& aState, Time aNow, Effects& aOut)
{
  std::vector<std::pair<std::string, RunId>> hung;
  for (auto& [id, worker] : aState.mWorkers) {
    if (worker.mHealth != WorkerHealth::Reachable) {
      continue;
    }
    for (const auto& [run, row] : worker.mRuns) {
      if (IsHung(aState, worker, run, row, aNow)) {
        hung.emplace_back(id, run);
      }
    }
  }
  for (const auto& [id, run] : hung) {
    auto& worker = aState.mWorkers.at(id);
    Log(aOut,
        "run.hung",
        FormatRunId(run),
        absl::StrCat("worker=",
                     id,
                     " percent=",
                     worker.mRuns.at(run).mPercent,
                     " since_ms=",
                     (aNow - worker.mRuns.at(run).mProgressAt).Milliseconds()));
    worker.mConsecutiveFailures =
      std::max(worker.mConsecutiveFailures, aState.mSettings.FailureLimit());
    worker.mLastFailedRun.reset();
    worker.mQuarantinedUntil = aNow + aState.mSettings.QuarantineTime();
    Requeue(aState, run.mTask, aNow, aOut);
  }
}

} // namespace by::detail
