#include "by_cell/detail/Learning.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"

namespace by::detail {

namespace {

/// How much one more end counts in the average of a worker's slowness.
constexpr double kSlownessWeight = 0.2;
/// A straggler counts as this much at most, since a few tasks take many times as long anywhere.
constexpr double kSlownessCap = 3.0;
/// The least that is believed of a worker's speed.
constexpr double kSlownessFloor = 0.3;

} // namespace

void
LearnSpeed(WorkerRow& aWorker, const RunRow& aRun, Time aNow)
{
  if (aRun.mPhase != RunPhase::Confirmed || aRun.mEstimate <= Time() || aRun.mOrderedAt <= Time()) {
    return;
  }
  const auto took = static_cast<double>((aNow - aRun.mOrderedAt).Milliseconds());
  const auto ratio = std::clamp(
    took / static_cast<double>(aRun.mEstimate.Milliseconds()), kSlownessFloor, kSlownessCap);
  aWorker.mSlowness += kSlownessWeight * (ratio - aWorker.mSlowness);
}

void
LearnHealth(const CellState& aState, WorkerRow& aWorker, RunEnd aHow, Time aNow, Effects& aOut)
{
  if (aHow == RunEnd::Done) {
    aWorker.mFailures = 0;
    aWorker.mAsideUntil = Time();
    return;
  }
  if (aHow != RunEnd::Failed) {
    return;
  }
  ++aWorker.mFailures;
  if (aWorker.mFailures >= aState.mSettings.FailureLimit()) {
    aWorker.mAsideUntil = aNow + aState.mSettings.QuarantineTime();
    Log(aOut,
        "worker.aside",
        aWorker.mRegistration.Id(),
        absl::StrCat("failures_in_a_row=",
                     aWorker.mFailures,
                     " for_ms=",
                     aState.mSettings.QuarantineTime().Milliseconds()));
  }
}

} // namespace by::detail
