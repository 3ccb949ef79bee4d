#include "by_cell/HandlePolls.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleRegistry.h"
#include "by_cell/OrderNumber.h"
#include "by_cell/detail/Crashes.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Incarnations.h"
#include "by_cell/detail/PollTimes.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/SuspectedTasks.h"
#include "by_cell/detail/Tables.h"
#include "by_cell/detail/TeamUsage.h"
#include "by_cell/detail/WorkerReports.h"
#include "by_cell/detail/WorkerStatistics.h"

namespace by {

namespace {

/// Consecutive failed polls after which a worker's lease is no longer renewed.
constexpr std::uint32_t kMaxPollFailures = 2;

/// How long a worker without runs is kept after it left the registry.
constexpr Time kForgetDelay = Time::FromMilliseconds(2000);
/// The same for a worker that fell silent with runs: the next process on its machine shows that it
/// crashed.
constexpr Time kLostForgetDelay = Time::FromSeconds(30);
/// How long a new owner waits for the registry before it gives up the workers of inherited runs.
/// The leases that it inherits end later, after AuthorityTimeout() at the earliest.
constexpr Time kRegistryWait = Time::FromMilliseconds(2000);
/// Delay before a failed poll is repeated.
constexpr Time kPollRetryDelay = Time::FromMilliseconds(150);

void
CountFailedPoll(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  ++aWorker.mPollFailures;
  aWorker.mSilentSince = std::min(aWorker.mSilentSince, aNow);
  if (aWorker.mPollFailures >= kMaxPollFailures) {
    detail::StopRenewingLease(aState, aWorker, aOut);
  }
  detail::SchedulePoll(aState, aWorker, aNow + kPollRetryDelay);
}

void
MarkReachable(CellState& aState, WorkerRow& aWorker, const WorkerReport& aReport, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::Unseen || aWorker.mWorkerClockReadAt == Time()) {
    // This poll fenced the earlier owner, so the leases that the earlier owner granted end at most
    // one lease time from now.
    aWorker.mLeaseSent = aReport.WorkerClock() + aState.mSettings.Lease();
  }
  if (aWorker.mHealth != WorkerHealth::Reachable) {
    detail::Log(aOut,
                "worker.reachable",
                aWorker.mRegistration.Id(),
                absl::StrCat("was=",
                             std::string(ToString(aWorker.mHealth)),
                             " runs=",
                             aWorker.mRuns.size(),
                             " born=",
                             aWorker.mProcessStart.Milliseconds(),
                             " clock=",
                             aReport.WorkerClock().Milliseconds()));
    aState.mPlacementNeeded = true;
  }
  aWorker.mHealth = WorkerHealth::Reachable;
  aWorker.mLeaseExpiresAt = Time::Never();
  if (aWorker.mPollFailures > 0) {
    aState.mPlacementNeeded = true;
  }
  aWorker.mPollFailures = 0;
  aWorker.mSilentSince = Time::Never();
  aWorker.mLostRuns.clear();
  aWorker.mIsCrashRecorded = false;
  aState.mLostWorkers.erase(aWorker.mRegistration.Id());
}

/// While a worker's process does not answer, every other poll goes to where an entry shows another
/// one.
bool
IsOtherPolled(const WorkerRow& aWorker)
{
  return aWorker.mDoubtfulEntry &&
         (aWorker.mRegistration.Endpoint().Port() == 0 || aWorker.mPollFailures % 2 == 1);
}

const Endpoint&
PolledEndpoint(const WorkerRow& aWorker)
{
  return IsOtherPolled(aWorker) ? aWorker.mDoubtfulEntry->Endpoint()
                                : aWorker.mRegistration.Endpoint();
}

void
SendPoll(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  const bool renews = aWorker.mHealth == WorkerHealth::Reachable && !aWorker.mRuns.empty() &&
                      detail::MayGrantLeases(aState, aNow);
  PollWorker::Fields fields{ .mWorker = aWorker.mRegistration.Id(),
                             .mEndpoint = PolledEndpoint(aWorker),
                             .mEpoch = aState.mEpoch,
                             .mAcknowledged = aWorker.mLastEndStored,
                             .mLeaseUntil = std::nullopt,
                             .mWait = renews && aWorker.mUnresolvedRuns == 0
                                        ? aState.mSettings.PollWait()
                                        : Time(),
                             .mNumber = OrderNumber(aState.mEpoch),
                             .mProcessStart = aWorker.mProcessStart };
  if (renews) {
    fields.mLeaseUntil = detail::NextLeaseEnd(aState, aWorker, aNow);
    aWorker.mLeaseSent = std::max(aWorker.mLeaseSent, *fields.mLeaseUntil);
  }
  aWorker.mPollInFlight = true;
  aWorker.mPolledOther = IsOtherPolled(aWorker);
  aWorker.mPollSentAt = aNow;
  aWorker.mNextPoll = Time::Never();
  detail::Emit(aOut, PollWorker::Create(std::move(fields)).value());
}

bool
CanBePolled(const WorkerRow& aWorker)
{
  return !aWorker.mPollInFlight && PolledEndpoint(aWorker).Port() > 0;
}

/// Resends the start and stop orders whose retry time has come.
void
ResendOrders(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  if (aWorker.mHealth != WorkerHealth::Reachable) {
    return;
  }
  std::vector<JobTaskKey> withdrawn;
  for (auto& [run, row] : aWorker.mRuns) {
    if (!row.mStopInFlight && row.mStopRetryAt <= aNow) {
      detail::SendStop(aState, aWorker, run, aNow, aOut);
    }
    if (row.mStartInFlight || row.mStartRetryAt > aNow) {
      continue;
    }
    // A poll comes first, which tells whether the process that the start was for still runs.
    const bool hasAnswered = aWorker.mWorkerClockReadAt >= row.mStartTimedOutAt;
    if (aWorker.mRegistration.Draining() || detail::IsOverCapacity(aWorker)) {
      withdrawn.push_back(run.mTask);
    } else if (detail::IsAboveQuota(aState, row.mTeam)) {
      // Sent again it could start above a quota that has been reduced, and stopped it could end a
      // run that has begun unseen, so it waits.
      continue;
    } else if (hasAnswered && detail::MayGrantLeases(aState, aNow)) {
      detail::SendStart(aState, aWorker, run, aNow, aOut);
    }
  }
  for (const auto& task : withdrawn) {
    detail::Requeue(aState, task, aNow, aOut);
  }
}

/// @returns whether the registry is known to lack a worker of which only inherited runs are known.
bool
IsAbsent(const CellState& aState, const WorkerRow& aWorker, Time aNow)
{
  return aWorker.mHealth == WorkerHealth::Unseen && !aWorker.mRegistered &&
         (aState.mRegistryRead || aNow > aState.mOwnerSince + kRegistryWait);
}

} // namespace

void
HandlePolled(CellState& aState, const WorkerPolled& aEvent, Time aNow, Effects& aOut)
{
  const auto it = aState.mWorkers.find(aEvent.Worker());
  if (it == aState.mWorkers.end()) {
    return;
  }
  auto& worker = it->second;
  if (aEvent.Outcome() == OrderOutcome::Fenced) {
    worker.mPollInFlight = false;
    detail::MarkFencedByWorker(aState, aEvent.Worker(), aOut);
    return;
  }
  if (aEvent.ProcessStart() != Time() && aEvent.ProcessStart() != worker.mProcessStart) {
    // It answers a poll of an earlier incarnation. The current one is polled by itself.
    return;
  }
  worker.mPollInFlight = false;
  if (worker.mNextPoll != Time::Never()) {
    aState.mPollQueue.emplace(worker.mNextPoll, aEvent.Worker());
  }
  if (aEvent.Outcome() == OrderOutcome::WrongWorker) {
    if (worker.mPolledOther) {
      worker.mDoubtfulEntry.reset();
    } else {
      detail::RetireWorker(aState, worker, aNow, aOut);
    }
    if (worker.mHealth == WorkerHealth::LeaseExpired && !worker.mDoubtfulEntry) {
      return;
    }
  }
  // A process other than the expected one identifies itself by its report too.
  if (aEvent.Outcome() != OrderOutcome::Accepted &&
      aEvent.Outcome() != OrderOutcome::OtherProcess) {
    CountFailedPoll(aState, worker, aNow, aOut);
    return;
  }
  const auto& report = aEvent.Report();
  if (!detail::IsSameIncarnation(worker, report.ProcessStart())) {
    detail::ResetIncarnation(aState, worker, "process restarted", aNow, aOut);
  }
  if (report.ProcessStart() > Time()) {
    worker.mProcessStart = report.ProcessStart();
  }
  ApplyDoubtfulEntry(aState, worker, aNow, aOut);
  const bool wasUnreachable = worker.mHealth != WorkerHealth::Reachable;
  MarkReachable(aState, worker, report, aOut);
  worker.mWorkerClock = report.WorkerClock();
  worker.mWorkerClockReadAt = aNow;
  detail::ApplyReport(aState, worker, report, aNow, aOut);
  // A trial waits for a worker that has just answered.
  aState.mPlacementNeeded = aState.mPlacementNeeded || aState.mHasWaitingTrials;
  if (worker.mRuns.empty()) {
    return;
  }
  // The poll of a worker that was not reachable carried no lease, so the next one follows at once.
  detail::SchedulePoll(
    aState, worker, wasUnreachable ? aNow : detail::NextPollTime(aState, worker, aNow));
}

void
SendDuePolls(CellState& aState, Time aNow, Effects& aOut)
{
  auto& queue = aState.mPollQueue;
  while (!queue.empty() && queue.begin()->first <= aNow) {
    const auto [due, id] = *queue.begin();
    queue.erase(queue.begin());
    const auto it = aState.mWorkers.find(id);
    if (it != aState.mWorkers.end() && it->second.mNextPoll == due && CanBePolled(it->second)) {
      SendPoll(aState, it->second, aNow, aOut);
    }
  }
}

void
UpdateWorkers(CellState& aState, Time aNow, Effects& aOut)
{
  std::vector<std::string> forgotten;
  std::vector<JobTaskKey> lapsed;
  for (auto& [id, worker] : aState.mWorkers) {
    if (!worker.mRuns.empty() && IsAbsent(aState, worker, aNow)) {
      detail::StopRenewingLease(aState, worker, aOut);
    }
    if (worker.mHealth == WorkerHealth::LeaseExpiring && worker.mLeaseExpiresAt <= aNow) {
      worker.mHealth = WorkerHealth::LeaseExpired;
      detail::Log(aOut, "worker.lapsed", id, absl::StrCat("runs=", worker.mRuns.size()));
      worker.mLostRuns = detail::ActiveRuns(aState, worker);
      for (auto& run : worker.mLostRuns) {
        run.mFacts.mMayHaveEnded = true;
        if (detail::MayHaveCrashedUnseen(worker, run)) {
          detail::AddLapse(aState, run.mRun);
          lapsed.push_back(run.mRun.mTask);
        }
      }
      if (!worker.mLostRuns.empty()) {
        aState.mLostWorkers.insert(id);
      }
      detail::EndAllRuns(aState, worker, RunEnd::LeaseExpired, aNow, aOut);
      detail::RecordIfReplaced(aState, worker, aNow, aOut);
    }
    if (!worker.mRegistered && !worker.mDoubtfulEntry && worker.mRuns.empty() &&
        !worker.mPollInFlight) {
      forgotten.push_back(id);
      continue;
    }
    if (detail::EndQuarantineIfProven(worker, aNow, aOut)) {
      aState.mPlacementNeeded = true;
    }
    if (CanBePolled(worker) && worker.mNextPoll <= aNow) {
      SendPoll(aState, worker, aNow, aOut);
    }
    ResendOrders(aState, worker, aNow, aOut);
  }
  for (const auto& task : lapsed) {
    detail::GiveUpIfHopeless(aState, task, aNow, aOut);
  }
  for (const auto& id : forgotten) {
    const auto& worker = aState.mWorkers.at(id);
    const auto delay = worker.mLostRuns.empty() ? kForgetDelay : kLostForgetDelay;
    if (aNow > worker.mDeregisteredAt + delay) {
      aState.mLostWorkers.erase(id);
      aState.mWorkers.erase(id);
    }
  }
}

} // namespace by
