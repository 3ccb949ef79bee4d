#include "by_cell/detail/Incarnations.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"

namespace by::detail {

namespace {

/// A worker that was frozen may notice this much later that its lease has expired.
constexpr Time kExpiryMargin = Time::FromMilliseconds(500);

/// An unanswered order may be carried out this much later.
constexpr Time kLateOrderWindow = Time::FromMilliseconds(12000);

Time
LongestOwnerTime(Time aWorkerTime)
{
  return Time::FromMilliseconds(aWorkerTime.Milliseconds() * 100 / kSlowestClockPercent + 1);
}

} // namespace

Time
LeaseExpiry(const CellState& aState, const WorkerRow& aWorker)
{
  if (aWorker.mWorkerClockReadAt == Time()) {
    const auto inherited = aState.mOwnerSince + aState.mSettings.AuthorityTimeout();
    return std::max(inherited, aWorker.mLateOrdersUntil) +
           LongestOwnerTime(aState.mSettings.Lease()) + kExpiryMargin;
  }
  const auto left = std::max(Time(), aWorker.mLeaseSent - aWorker.mWorkerClock);
  return aWorker.mWorkerClockReadAt + LongestOwnerTime(left) + kExpiryMargin;
}

void
StopRenewingLease(CellState& aState, WorkerRow& aWorker, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::LeaseExpiring ||
      aWorker.mHealth == WorkerHealth::LeaseExpired) {
    return;
  }
  aWorker.mHealth = WorkerHealth::LeaseExpiring;
  aWorker.mLeaseExpiresAt = LeaseExpiry(aState, aWorker);
  Log(aOut,
      "worker.lost",
      aWorker.mRegistration.Id(),
      absl::StrCat("runs=",
                   aWorker.mRuns.size(),
                   " failed_looks=",
                   aWorker.mPollFailures,
                   " lapse_at=",
                   aWorker.mLeaseExpiresAt.Milliseconds(),
                   " last_answer=",
                   aWorker.mWorkerClockReadAt.Milliseconds()));
}

void
ResetIncarnation(CellState& aState,
                 WorkerRow& aWorker,
                 const char* aReason,
                 Time aNow,
                 Effects& aOut)
{
  Log(aOut,
      "worker.over",
      aWorker.mRegistration.Id(),
      absl::StrCat("reason=",
                   aReason,
                   " runs=",
                   aWorker.mRuns.size(),
                   " born=",
                   aWorker.mProcessStart.Milliseconds(),
                   " clock=",
                   aWorker.mWorkerClock.Milliseconds(),
                   " lease_sent=",
                   aWorker.mLeaseSent.Milliseconds()));
  RecordCrash(aState, aWorker, aReason, aNow, aOut);
  std::vector<RunId> ended;
  std::vector<RunId> unconfirmed;
  for (const auto& [run, row] : aWorker.mRuns) {
    // A start of an earlier owner may have named no process, and one without an answer may still be
    // on its way. Such a run is stopped at the next incarnation before its task is placed again.
    const bool mayStartLate =
      row.mStartInFlight || row.mStartUnanswered || row.mPhase == RunPhase::Inherited;
    (mayStartLate ? unconfirmed : ended).push_back(run);
  }
  for (const auto& run : ended) {
    EndRun(aState, aWorker, run, RunEnd::LeaseExpired, "", aNow, aOut);
  }
  aWorker.mFormerProcessStart = aWorker.mProcessStart;
  aWorker.mLateOrdersUntil = aNow + kLateOrderWindow;
  aWorker.mIncarnationSince = aNow;
  for (const auto& run : unconfirmed) {
    aWorker.mRuns.at(run).mAliveInReport = 0;
    aWorker.mRuns.at(run).mUnlistedSinceReport = 0;
    if (aWorker.mRuns.at(run).mPhase != RunPhase::Inherited) {
      aWorker.mRuns.at(run).mStopConfirmedAt = Time::Never();
      aWorker.mRuns.at(run).mStopRetryAt = aNow;
      Requeue(aState, run.mTask, aNow, aOut);
    }
  }
  aWorker.mHealth = WorkerHealth::Unseen;
  // A poll of the earlier incarnation may stay unanswered for a while; its answer is ignored.
  aWorker.mPollInFlight = false;
  aWorker.mWorkerClock = Time();
  aWorker.mWorkerClockReadAt = Time();
  aWorker.mLeaseSent = Time();
  aWorker.mLastEndSeen = 0;
  aWorker.mLastEndStored = 0;
  aWorker.mReports = 0;
  aWorker.mEndsKnownUntilReport = 0;
  aWorker.mUnresolvedRuns = 0;
  aWorker.mConsecutiveFailures = 0;
  aWorker.mLastFailedRun.reset();
  aWorker.mQuarantinedUntil = Time();
  aWorker.mSlowness = 1.0;
  aWorker.mSilentSince = Time::Never();
  aWorker.mIsCrashRecorded = false;
  SchedulePoll(aState, aWorker, aNow);
}

void
RetireWorker(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  Log(aOut,
      "worker.over",
      aWorker.mRegistration.Id(),
      absl::StrCat("reason=another worker answers at its address runs=", aWorker.mRuns.size()));
  RecordCrash(aState, aWorker, "another worker answers at its address", aNow, aOut);
  EndAllRuns(aState, aWorker, RunEnd::LeaseExpired, aNow, aOut);
  aWorker.mHealth = WorkerHealth::LeaseExpired;
  aWorker.mNextPoll = Time::Never();
  if (aWorker.mDoubtfulEntry) {
    SchedulePoll(aState, aWorker, aNow);
  }
}

bool
IsSameIncarnation(const WorkerRow& aWorker, Time aProcessStart)
{
  return aProcessStart == Time() || aWorker.mProcessStart == Time() ||
         aProcessStart == aWorker.mProcessStart;
}

void
MarkFencedByWorker(CellState& aState, const std::string& aWorker, Effects& aOut)
{
  Log(aOut,
      "cell.fenced",
      absl::StrCat("epoch ", aState.mEpoch),
      absl::StrCat("by=worker ", aWorker));
  aState.mFenced = true;
}

} // namespace by::detail
