#include "by_cell/detail/LookTimes.h"

#include <algorithm>

#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// An end is looked for this much after it is expected, since estimates are a little short or long.
constexpr Time kEndSlack = Time::FromMilliseconds(10);
/// The end of a run whose job can wait is looked for up to this much later, and less while work
/// waits for the room.
constexpr Time kMostTolerance = Time::FromMilliseconds(350);
constexpr Time kBusyTolerance = Time::FromMilliseconds(60);
/// Part of the time left to a job that a late look may use up.
constexpr std::int64_t kToleranceShare = 4;
constexpr std::uint32_t kAllWork = 100;

Time
ExpectedEnd(const WorkerRow& aWorker, const RunRow& aRun, Time aNow)
{
  if (aRun.mPercent == 0 || aRun.mPercent >= kAllWork || aRun.mOrderedAt == Time()) {
    return std::max(aNow, aRun.mSince + aRun.mEstimate);
  }
  const auto seen = aWorker.mClockRead - aRun.mOrderedAt;
  return aRun.mOrderedAt + seen * kAllWork / aRun.mPercent;
}

Time
ToleranceOf(CellState& aState, const RunId& aRun, Time aEnd)
{
  const auto most = aState.mReady.empty() ? kMostTolerance : kBusyTolerance;
  const auto* job = FindJob(aState, aRun.mTask.Job());
  if (job == nullptr) {
    return most;
  }
  const auto spare = (job->mObjective - aEnd) / kToleranceShare;
  // A job that is late already gains nothing by a few milliseconds.
  return spare < Time() ? most : std::min(spare, most);
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
