#include "by_cell/detail/LookTimes.h"

#include <algorithm>
#include <cmath>

#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// An end is looked for this much after it is expected, since estimates are a little short or long.
constexpr Time kEndSlack = Time::FromMilliseconds(10);
/// The end of a run whose job can wait is looked for up to this much later.
constexpr Time kMostTolerance = Time::FromMilliseconds(200);
/// Part of the time left to a job that a late look may use up.
constexpr std::int64_t kToleranceShare = 4;
/// Before the first progress is listed, the declared time is trusted up to this part.
constexpr double kFirstLookShare = 0.8;
constexpr std::uint32_t kAllWork = 100;

Time
ExpectedEnd(const WorkerRow& aWorker, const RunRow& aRun, Time aNow)
{
  if (aRun.mPercent == 0 || aRun.mPercent >= kAllWork || aRun.mOrderedAt == Time()) {
    const auto declared = static_cast<double>(aRun.mEstimate.Milliseconds()) * kFirstLookShare;
    return std::max(aNow, aRun.mSince + Time::FromMilliseconds(std::llround(declared)));
  }
  const auto seen = aWorker.mClockRead - aRun.mOrderedAt;
  return aRun.mOrderedAt + seen * kAllWork / aRun.mPercent;
}

Time
ToleranceOf(CellState& aState, const RunId& aRun, Time aEnd)
{
  const auto* job = FindJob(aState, aRun.mTask.Job());
  if (job == nullptr) {
    return kMostTolerance;
  }
  const auto spare = (job->mObjective - aEnd) / kToleranceShare;
  // A job that is late already gains nothing by a few milliseconds.
  return spare < Time() ? kMostTolerance : std::min(spare, kMostTolerance);
}

} // namespace

Time
NextLook(CellState& aState, const WorkerRow& aWorker, Time aNow)
{
  auto next = aNow + aState.mSettings.LookInterval();
  for (const auto& [run, row] : aWorker.mRuns) {
    if (row.mPhase == RunPhase::Planned) {
      continue;
    }
    if (row.mStopWanted) {
      next = std::min(next, aNow + kMostTolerance);
      continue;
    }
    const auto end = ExpectedEnd(aWorker, row, aNow) + kEndSlack;
    next = std::min(next, end + ToleranceOf(aState, run, end));
  }
  return std::max(next, aNow + aState.mSettings.LookPause());
}

} // namespace by::detail
