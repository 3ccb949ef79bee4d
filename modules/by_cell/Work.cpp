#include "by_cell/Work.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/HandlePolls.h"
#include "by_cell/HandleRequests.h"
#include "by_cell/HandleStore.h"
#include "by_cell/HandleWaves.h"
#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Evacuation.h"
#include "by_cell/detail/Hangs.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Placement.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamRates.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_jobs/by_jobs.h"

namespace by {

namespace {

/// Interval between the checks for work that events did not trigger.
constexpr Time kCheckInterval = Time::FromMilliseconds(250);
/// Interval between the passes over all workers that resend orders and end expired leases.
constexpr Time kWorkerUpdateInterval = Time::FromMilliseconds(40);
/// Interval between examinations of infeasible steps that no event requested.
constexpr Time kFeasibilityInterval = Time::FromSeconds(5);

/// An owner whose time of day differs by up to this much from that of the owner that stored an
/// outcome keeps it long enough.
constexpr Time kClockDifference = Time::FromMilliseconds(10000);

void
OpenDueJobs(CellState& aState, Time aNow)
{
  while (!aState.mSchedule.empty() && aState.mSchedule.begin()->first <= aNow) {
    const auto id = aState.mSchedule.begin()->second;
    aState.mSchedule.erase(aState.mSchedule.begin());
    if (auto* job = detail::FindJob(aState, id)) {
      detail::OpenDueOccurrences(aState, *job, aNow);
    }
  }
}

void
ExpireOutcomes(CellState& aState, Time aNow, Effects& aOut)
{
  const auto retention = aState.mSettings.OutcomeRetention() + kClockDifference;
  while (!aState.mOutcomesByEnd.empty() &&
         aState.mOutcomesByEnd.begin()->first + retention < aNow) {
    const auto id = aState.mOutcomesByEnd.begin()->second;
    aState.mOutcomesByEnd.erase(aState.mOutcomesByEnd.begin());
    const auto outcome = aState.mOutcomes.extract(id);
    if (!outcome.empty() && !outcome.mapped().mTeam.IsEmpty()) {
      aState.mDeletedKeys.push_back(TeamRecordKey(id));
    }
    detail::Log(aOut, "job.forgotten", id, absl::StrCat("retention_ms=", retention.Milliseconds()));
    aState.mDeletedKeys.push_back(OutcomeRecordKey(id));
  }
}

/// @returns whether a ready step may query advice again, for instance because its tickets have
/// expired; no event reports this, although it is a reason for a placement pass.
bool
HasDueAdviceQuery(const CellState& aState, Time aNow)
{
  return std::any_of(aState.mReady.begin(), aState.mReady.end(), [&](const ReadyKey& aKey) {
    if (aKey.mInfeasible) {
      return false;
    }
    const auto& job = aState.mJobs.at(aKey.mJob);
    const auto& advice = job.mOccurrences.at(aKey.mOccurrence).mSteps[aKey.mStep].mAdvice;
    return detail::PolicyOf(aState, job).Advice() && advice.mNextQuery <= aNow;
  });
}

} // namespace

void
AdvanceCell(CellState& aState, Time aNow, Effects& aOut)
{
  if (aState.mFenced) {
    return;
  }
  const bool hasStore = aState.mStoreLostAt == Time::Never();
  if (hasStore && aState.mPlacementNeeded && aNow >= aState.mNextPlacement) {
    detail::PlaceTasks(aState, aNow, aOut);
  }
  SendDuePolls(aState, aNow, aOut);
  AnswerUnknownJobQueries(aState, aNow, aOut);
  FlushRecords(aState, aNow, aOut);
}

void
CheckCell(CellState& aState, Time aNow, Effects& aOut)
{
  OpenDueJobs(aState, aNow);
  AnswerStalledCallers(aState, aNow, aOut);
  detail::SettleCrashes(aState, aNow, aOut);
  detail::UpdateTeamRates(aState, aNow, aOut);
  if (aNow >= aState.mLastWorkerUpdate + kWorkerUpdateInterval) {
    aState.mLastWorkerUpdate = aNow;
    UpdateWorkers(aState, aNow, aOut);
  }
  if (aNow < aState.mLastCheck + kCheckInterval) {
    return;
  }
  aState.mLastCheck = aNow;
  ExpireOutcomes(aState, aNow, aOut);
  detail::StopHungRuns(aState, aNow, aOut);
  detail::EvacuateDraining(aState, aNow, aOut);
  AdvanceWaves(aState, aNow, aOut);
  detail::UpdateUrgency(aState, aNow);
  if (aNow >= aState.mNextFeasibilityCheck) {
    aState.mNextFeasibilityCheck = aNow + kFeasibilityInterval;
    aState.mCapacityMayHaveGrown = true;
  }
  const bool wasDue = aState.mPlacementNeeded || aState.mStoreLostAt != Time::Never() ||
                      aState.mHasWaitingTrials || HasDueAdviceQuery(aState, aNow);
  const auto placed = detail::PlaceTasks(aState, aNow, aOut);
  if (!wasDue && placed > 0) {
    ++aState.mMissedWakeups;
    detail::Log(aOut,
                "placement.missed",
                absl::StrCat("epoch ", aState.mEpoch),
                absl::StrCat("tasks=", placed, " times=", aState.mMissedWakeups));
  }
}

void
ConfigureCell(CellState& aState, const ClusterConfig& aConfig)
{
  aState.mConfig = aConfig;
  detail::ApplyTeamPolicies(aState);
  aState.mCapacityMayHaveGrown = true;
  for (auto& [id, job] : aState.mJobs) {
    for (const auto& [index, occurrence] : job.mOccurrences) {
      detail::RefreshOccurrence(aState, job, index);
    }
  }
  aState.mPlacementNeeded = true;
}

Time
NextWorkTime(const CellState& aState)
{
  auto next = aState.mPollQueue.empty() ? Time::Never() : aState.mPollQueue.begin()->first;
  if (!aState.mSchedule.empty()) {
    next = std::min(next, aState.mSchedule.begin()->first);
  }
  if (aState.mInFlight && !aState.mInFlight->mCallInFlight) {
    next = std::min(next, aState.mInFlight->mLastSent + aState.mSettings.AppendRetryDelay());
  }
  if (!aState.mInFlight && HasUnstored(aState)) {
    next = std::min(next, aState.mNextAppend);
  }
  if (aState.mPlacementNeeded && aState.mStoreLostAt == Time::Never()) {
    next = std::min(next, aState.mNextPlacement);
  }
  return next;
}

} // namespace by
