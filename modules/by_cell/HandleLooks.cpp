#include "by_cell/HandleLooks.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Lists.h"
#include "by_cell/detail/Lives.h"
#include "by_cell/detail/LookTimes.h"
#include "by_cell/detail/Runs.h"

namespace by {

namespace {

/// Looks in a row that fail before a worker's lease is left to lapse.
constexpr std::uint32_t kLookTries = 2;

/// A worker that nothing tells of any more is forgotten after this.
constexpr Time kForgetAfter = Time::FromMilliseconds(2000);
/// Pause before a failed look is sent again.
constexpr Time kLookRetry = Time::FromMilliseconds(150);

void
CountFailedLook(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  ++aWorker.mLookFailures;
  if (aWorker.mLookFailures >= kLookTries) {
    detail::BeginLapse(aState, aWorker, aOut);
  }
  detail::LookBy(aState, aWorker, aNow + kLookRetry);
}

void
RegainWorker(CellState& aState, WorkerRow& aWorker, const WorkerReport& aLists, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::Unseen) {
    // Leases of an earlier owner end at the latest one lease after it was fenced by this look.
    aWorker.mLeaseSent = aLists.WorkerClock() + aState.mSettings.Lease();
  }
  if (aWorker.mHealth != WorkerHealth::Reachable) {
    detail::Log(
      aOut,
      "worker.reachable",
      aWorker.mRegistration.Id(),
      absl::StrCat("was=", std::string(ToString(aWorker.mHealth)), " runs=", aWorker.mRuns.size()));
    aState.mPlaceAgain = true;
  }
  aWorker.mHealth = WorkerHealth::Reachable;
  aWorker.mLapseAt = Time::Never();
  if (aWorker.mLookFailures > 0) {
    aState.mPlaceAgain = true;
  }
  aWorker.mLookFailures = 0;
}

bool
MayRenew(const CellState& aState, Time aNow)
{
  return aNow < aState.mConfirmedAt + aState.mSettings.AuthorityTimeout();
}

void
SendLook(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  const bool renews =
    aWorker.mHealth == WorkerHealth::Reachable && !aWorker.mRuns.empty() && MayRenew(aState, aNow);
  PollWorker::Fields fields{ .mWorker = aWorker.mRegistration.Id(),
                             .mEndpoint = aWorker.mRegistration.Endpoint(),
                             .mEpoch = aState.mEpoch,
                             .mAcknowledged = aWorker.mEndStored,
                             .mLeaseUntil = std::nullopt,
                             .mWait = renews ? aState.mSettings.PollWait() : Time() };
  if (renews) {
    fields.mLeaseUntil = detail::LeaseFor(aState, aWorker, aNow);
    aWorker.mLeaseSent = std::max(aWorker.mLeaseSent, *fields.mLeaseUntil);
  }
  aWorker.mLookOpen = true;
  aWorker.mLookSent = aNow;
  aWorker.mNextLook = Time::Never();
  detail::Emit(aOut, PollWorker::Create(std::move(fields)).value());
}

/// Sends orders again that went without an answer.
void
TendOrders(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  if (aWorker.mHealth != WorkerHealth::Reachable) {
    return;
  }
  for (auto& [run, row] : aWorker.mRuns) {
    if (!row.mStopOpen && row.mStopAgain <= aNow) {
      detail::SendStop(aState, aWorker, run, aNow, aOut);
    }
    if (!row.mStartOpen && row.mStartAgain <= aNow && MayRenew(aState, aNow)) {
      detail::SendStart(aState, aWorker, run, aNow, aOut);
    }
  }
}

} // namespace

void
HandleLooked(CellState& aState, const WorkerPolled& aEvent, Time aNow, Effects& aOut)
{
  const auto it = aState.mWorkers.find(aEvent.Worker());
  if (it == aState.mWorkers.end()) {
    return;
  }
  auto& worker = it->second;
  worker.mLookOpen = false;
  if (aEvent.Outcome() == OrderOutcome::Fenced) {
    detail::FencedByWorker(aState, aEvent.Worker(), aOut);
    return;
  }
  if (aEvent.Outcome() == OrderOutcome::WrongWorker) {
    detail::EndForGood(aState, worker, aNow, aOut);
    return;
  }
  if (aEvent.Outcome() != OrderOutcome::Accepted) {
    CountFailedLook(aState, worker, aNow, aOut);
    return;
  }
  const auto& lists = aEvent.Report();
  if (!detail::SameLife(worker, lists.ProcessStart())) {
    detail::EndLife(aState, worker, "started anew", aNow, aOut);
  }
  if (lists.ProcessStart() > Time()) {
    worker.mProcessStart = lists.ProcessStart();
  }
  const bool wasUnseen = worker.mHealth != WorkerHealth::Reachable;
  RegainWorker(aState, worker, lists, aOut);
  worker.mWorkerClock = lists.WorkerClock();
  worker.mClockRead = aNow;
  detail::TakeLists(aState, worker, lists, aNow, aOut);
  if (worker.mRuns.empty()) {
    return;
  }
  // The first look under this epoch carried no lease.
  detail::LookBy(aState, worker, wasUnseen ? aNow : detail::NextLook(aState, worker, aNow));
}

void
TendWorkers(CellState& aState, Time aNow, Effects& aOut)
{
  auto due = Time::Never();
  std::vector<std::string> forgotten;
  for (auto& [id, worker] : aState.mWorkers) {
    if (worker.mHealth == WorkerHealth::Unseen && !worker.mRegistered && !worker.mRuns.empty()) {
      detail::BeginLapse(aState, worker, aOut);
    }
    if (worker.mHealth == WorkerHealth::Lapsing && worker.mLapseAt <= aNow) {
      worker.mHealth = WorkerHealth::LeaseExpired;
      detail::Log(aOut, "worker.lapsed", id, absl::StrCat("runs=", worker.mRuns.size()));
      detail::EndAllRuns(aState, worker, RunEnd::LeaseExpired, aNow, aOut);
    }
    if (!worker.mRegistered && worker.mRuns.empty() && !worker.mLookOpen) {
      forgotten.push_back(id);
      continue;
    }
    const bool hasAddress = worker.mRegistration.Endpoint().Port() > 0;
    if (!worker.mLookOpen && hasAddress && worker.mNextLook <= aNow) {
      SendLook(aState, worker, aNow, aOut);
    }
    TendOrders(aState, worker, aNow, aOut);
    if (!worker.mLookOpen && hasAddress) {
      due = std::min(due, worker.mNextLook);
    }
  }
  for (const auto& id : forgotten) {
    if (aNow > aState.mWorkers.at(id).mGoneAt + kForgetAfter) {
      aState.mWorkers.erase(id);
    }
  }
  aState.mLookDue = due;
}

} // namespace by
