#include "by_cell/detail/WorkerStatistics.h"

#include <algorithm>

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

void
UpdateFailures(const CellState& aState, WorkerRow& aWorker, RunEnd aEnd, Time aNow, Effects& aOut)
{
  if (aEnd == RunEnd::Done) {
    aWorker.mConsecutiveFailures = 0;
    aWorker.mQuarantinedUntil = Time();
    return;
  }
  if (aEnd != RunEnd::Failed) {
    return;
  }
  ++aWorker.mConsecutiveFailures;
  if (aWorker.mConsecutiveFailures >= aState.mSettings.FailureLimit()) {
    aWorker.mQuarantinedUntil = aNow + aState.mSettings.QuarantineTime();
    Log(aOut,
        "worker.aside",
        aWorker.mRegistration.Id(),
        absl::StrCat("failures_in_a_row=",
                     aWorker.mConsecutiveFailures,
                     " for_ms=",
                     aState.mSettings.QuarantineTime().Milliseconds()));
  }
}

} // namespace by::detail
