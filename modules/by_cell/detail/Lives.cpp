#include "by_cell/detail/Lives.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Runs.h"

namespace by::detail {

namespace {

/// Workers' clocks may run slow by two in a hundred.
constexpr std::int64_t kSlowClockPercent = 98;

/// A worker that was frozen may notice this late that its lease has passed.
constexpr Time kLapseSlack = Time::FromMilliseconds(500);

/// An order without an answer may be carried out this much later.
constexpr Time kLateOrders = Time::FromMilliseconds(12000);

Time
OnFastClock(Time aOnSlowClock)
{
  return Time::FromMilliseconds(aOnSlowClock.Milliseconds() * 100 / kSlowClockPercent + 1);
}

} // namespace

Time
LapseOf(const CellState& aState, const WorkerRow& aWorker)
{
  if (aWorker.mClockRead == Time()) {
    const auto inherited = aState.mOwnerSince + aState.mSettings.AuthorityTimeout();
    return std::max(inherited, aWorker.mLateOrdersUntil) + OnFastClock(aState.mSettings.Lease()) +
           kLapseSlack;
  }
  const auto left = std::max(Time(), aWorker.mLeaseSent - aWorker.mWorkerClock);
  return aWorker.mClockRead + OnFastClock(left) + kLapseSlack;
}

void
BeginLapse(CellState& aState, WorkerRow& aWorker, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::Lapsing || aWorker.mHealth == WorkerHealth::LeaseExpired) {
    return;
  }
  aWorker.mHealth = WorkerHealth::Lapsing;
  aWorker.mLapseAt = LapseOf(aState, aWorker);
  Log(aOut,
      "worker.lost",
      aWorker.mRegistration.Id(),
      absl::StrCat("runs=",
                   aWorker.mRuns.size(),
                   " failed_looks=",
                   aWorker.mLookFailures,
                   " lapse_at=",
                   aWorker.mLapseAt.Milliseconds(),
                   " last_answer=",
                   aWorker.mClockRead.Milliseconds()));
}

void
EndLife(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut)
{
  Log(aOut,
      "worker.over",
      aWorker.mRegistration.Id(),
      absl::StrCat("reason=", aReason, " runs=", aWorker.mRuns.size()));
  std::vector<RunId> over;
  std::vector<RunId> doubtful;
  for (const auto& [run, row] : aWorker.mRuns) {
    // A start that went without an answer may be carried out by the next life, which has seen no
    // epoch yet; such a run is barred there before its task is placed again.
    const bool mayComeLate = row.mStartOpen || row.mStartLost || row.mPhase == RunPhase::Inherited;
    (mayComeLate ? doubtful : over).push_back(run);
  }
  for (const auto& run : over) {
    EndRun(aState, aWorker, run, RunEnd::LeaseExpired, "", aNow, aOut);
  }
  aWorker.mLateOrdersUntil = aNow + kLateOrders;
  aWorker.mLifeSince = aNow;
  for (const auto& run : doubtful) {
    if (aWorker.mRuns.at(run).mPhase != RunPhase::Inherited) {
      aWorker.mRuns.at(run).mBarredAt = Time::Never();
      aWorker.mRuns.at(run).mStopAgain = aNow;
      Requeue(aState, run.mTask, aNow, aOut);
    }
  }
  aWorker.mHealth = WorkerHealth::Unseen;
  aWorker.mWorkerClock = Time();
  aWorker.mClockRead = Time();
  aWorker.mLeaseSent = Time();
  aWorker.mEndSeen = 0;
  aWorker.mEndStored = 0;
  aWorker.mFailures = 0;
  aWorker.mAsideUntil = Time();
  aWorker.mSlowness = 1.0;
  LookBy(aState, aWorker, aNow);
}

void
EndForGood(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  Log(aOut,
      "worker.over",
      aWorker.mRegistration.Id(),
      absl::StrCat("reason=another worker answers there runs=", aWorker.mRuns.size()));
  EndAllRuns(aState, aWorker, RunEnd::LeaseExpired, aNow, aOut);
  aWorker.mHealth = WorkerHealth::LeaseExpired;
  aWorker.mNextLook = Time::Never();
}

bool
SameLife(const WorkerRow& aWorker, Time aBorn)
{
  return aBorn == Time() || aWorker.mProcessStart == Time() || aBorn == aWorker.mProcessStart;
}

void
FencedByWorker(CellState& aState, const std::string& aWorker, Effects& aOut)
{
  Log(aOut,
      "cell.fenced",
      absl::StrCat("epoch ", aState.mEpoch),
      absl::StrCat("by=worker ", aWorker));
  aState.mFenced = true;
}

} // namespace by::detail
