#include "by_cell/detail/PollTimes.h"

#include <algorithm>

#include "by_cell/detail/Tables.h"

namespace by::detail {

namespace {

/// How long before an expected end a poll starts to wait at the worker, where the job is short of
/// time.
constexpr Time kEndLead = Time::FromMilliseconds(40);
/// A job with less slack than this after an expected end is short of time and needs the end
/// reported at once.
constexpr Time kTightSlack = Time::FromMilliseconds(600);
/// Interval between polls while steps wait for capacity.
constexpr Time kBusyPollInterval = Time::FromMilliseconds(60);
constexpr std::uint32_t kFullPercent = 100;

/// @returns whether a run's job is short of time after the run's expected end; a job that is
/// already late is not, since a few milliseconds gain nothing for it.
bool
IsTight(CellState& aState, const RunId& aRun, Time aEnd, Time aNow)
{
  const auto* job = FindJob(aState, aRun.mTask.Job());
  return job != nullptr && job->mObjective > aNow && aEnd + kTightSlack > job->mObjective;
}

} // namespace

Time
ExpectedEnd(const WorkerRow& aWorker, const RunRow& aRun, Time aNow)
{
  if (aRun.mPercent == 0 || aRun.mPercent >= kFullPercent || aRun.mOrderedAt == Time()) {
    return std::max(aNow, aRun.mPhaseSince + aRun.mEstimate);
  }
  const auto seen = aWorker.mWorkerClockReadAt - aRun.mOrderedAt;
  return aRun.mOrderedAt + seen * kFullPercent / aRun.mPercent;
}

Time
NextPollTime(CellState& aState, const WorkerRow& aWorker, Time aNow)
{
  const bool hasReady = !aState.mReady.empty() && !aState.mReady.begin()->mInfeasible;
  const bool isQuick = hasReady && !aState.mIsBehind;
  auto next = aNow + (isQuick ? kBusyPollInterval : aState.mSettings.PollInterval());
  for (const auto& [run, row] : aWorker.mRuns) {
    if (row.mPhase == RunPhase::Planned) {
      continue;
    }
    const auto end = ExpectedEnd(aWorker, row, aNow);
    if (IsTight(aState, run, end, aNow)) {
      next = std::min(next, end - kEndLead);
    }
  }
  return std::max(next, aNow + aState.mSettings.MinPollInterval());
}

} // namespace by::detail
