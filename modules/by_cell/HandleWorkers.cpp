#include "by_cell/HandleWorkers.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Advice.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/Lists.h"
#include "by_cell/detail/LookTimes.h"
#include "by_cell/detail/Placement.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"

namespace by {

namespace {

/// Looks in a row that fail before a worker's lease is left to lapse.
constexpr std::uint32_t kLookTries = 2;
/// Pause before a failed look is sent again.
constexpr Time kLookRetry = Time::FromMilliseconds(150);
/// Workers' clocks may run slow by two in a hundred.
constexpr std::int64_t kSlowClockPercent = 98;
/// A worker that was frozen may notice this late that its lease has passed.
constexpr Time kLapseSlack = Time::FromMilliseconds(500);
/// An order without an answer may be carried out this much later.
constexpr Time kLateOrders = Time::FromMilliseconds(12000);
/// A worker that turns starts away is not offered others for this long.
constexpr Time kRefusalPause = Time::FromMilliseconds(500);

Time
OnFastClock(Time aOnSlowClock)
{
  return Time::FromMilliseconds(aOnSlowClock.Milliseconds() * 100 / kSlowClockPercent + 1);
}

/// When nothing can run on a worker any more that does not answer from now on.
Time
LapseOf(const CellState& aState, const WorkerRow& aWorker)
{
  if (aWorker.mClockRead == Time()) {
    const auto inherited = aState.mOwnerSince + aState.mSettings.Authority();
    return std::max(inherited, aWorker.mLateOrdersUntil) + OnFastClock(aState.mSettings.Lease()) +
           kLapseSlack;
  }
  const auto left = std::max(Time(), aWorker.mLeaseSent - aWorker.mClock);
  return aWorker.mClockRead + OnFastClock(left) + kLapseSlack;
}

void
BeginLapse(CellState& aState, WorkerRow& aWorker, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::Lapsing || aWorker.mHealth == WorkerHealth::Lapsed) {
    return;
  }
  aWorker.mHealth = WorkerHealth::Lapsing;
  aWorker.mLapseAt = LapseOf(aState, aWorker);
  detail::Log(aOut,
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

/// Another process answers to the worker's name, or none can: all that ran there is over.
void
EndLife(CellState& aState, WorkerRow& aWorker, const char* aReason, Time aNow, Effects& aOut)
{
  detail::Log(aOut,
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
    detail::EndRun(aState, aWorker, run, RunEnd::Lapsed, "", aNow, aOut);
  }
  aWorker.mLateOrdersUntil = aNow + kLateOrders;
  aWorker.mLifeSince = aNow;
  for (const auto& run : doubtful) {
    if (aWorker.mRuns.at(run).mPhase != RunPhase::Inherited) {
      aWorker.mRuns.at(run).mBarredAt = Time::Never();
      aWorker.mRuns.at(run).mStopAgain = aNow;
      detail::Requeue(aState, run.mTask, aNow, aOut);
    }
  }
  aWorker.mHealth = WorkerHealth::Unseen;
  aWorker.mClock = Time();
  aWorker.mClockRead = Time();
  aWorker.mLeaseSent = Time();
  aWorker.mEndSeen = 0;
  aWorker.mEndStored = 0;
  aWorker.mFailures = 0;
  aWorker.mAsideUntil = Time();
  aWorker.mSlowness = 1.0;
  detail::LookBy(aState, aWorker, aNow);
}

/// Another worker answers at its address, so that its process is gone and takes no order any more.
void
EndForGood(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  detail::Log(aOut,
              "worker.over",
              aWorker.mRegistration.Id(),
              absl::StrCat("reason=another worker answers there runs=", aWorker.mRuns.size()));
  detail::EndAllRuns(aState, aWorker, RunEnd::Lapsed, aNow, aOut);
  aWorker.mHealth = WorkerHealth::Lapsed;
  aWorker.mNextLook = Time::Never();
}

bool
SameLife(const WorkerRow& aWorker, Time aBorn)
{
  return aBorn == Time() || aWorker.mBorn == Time() || aBorn == aWorker.mBorn;
}

void
Register(CellState& aState, const WorkerRegistration& aEntry, Time aNow, Effects& aOut)
{
  auto& worker = aState.mWorkers[aEntry.Id()];
  if (aEntry.Born() > Time() && aEntry.Born() < worker.mBorn) {
    detail::Log(
      aOut,
      "worker.stale_entry",
      aEntry.Id(),
      absl::StrCat("born=", aEntry.Born().Milliseconds(), " known=", worker.mBorn.Milliseconds()));
    return;
  }
  const bool isNew = !worker.mRegistered;
  const bool moved = worker.mRegistration.Endpoint() != aEntry.Endpoint();
  if (!SameLife(worker, aEntry.Born())) {
    EndLife(aState, worker, "registered anew", aNow, aOut);
    worker.mBorn = aEntry.Born();
  }
  if (worker.mBorn == Time()) {
    worker.mBorn = aEntry.Born();
  }
  if (isNew || worker.mRegistration.Draining() != aEntry.Draining()) {
    detail::Log(aOut,
                aEntry.Draining() ? "worker.draining" : "worker.registered",
                aEntry.Id(),
                absl::StrCat("pool=",
                             aEntry.Pool(),
                             " born=",
                             aEntry.Born().Milliseconds(),
                             " runs=",
                             worker.mRuns.size()));
  }
  worker.mRegistration = aEntry;
  worker.mRegistered = true;
  worker.mGoneAt = Time();
  if (moved && worker.mHealth == WorkerHealth::Lapsed) {
    worker.mHealth = WorkerHealth::Unseen;
  }
  if (moved && worker.mHealth == WorkerHealth::Unseen) {
    detail::LookBy(aState, worker, aNow);
  }
  aState.mPlaceAgain = true;
}

void
Unregister(CellState& aState, const std::string& aId, Time aNow, Effects& aOut)
{
  const auto it = aState.mWorkers.find(aId);
  if (it == aState.mWorkers.end() || !it->second.mRegistered) {
    return;
  }
  it->second.mRegistered = false;
  it->second.mGoneAt = aNow;
  detail::Log(
    aOut, "worker.gone", aId, absl::StrCat("runs=", it->second.mRuns.size(), " by=registry"));
  if (!it->second.mRuns.empty()) {
    detail::LookBy(aState, it->second, aNow);
  }
}

void
CountFailedLook(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  ++aWorker.mLookFailures;
  if (aWorker.mLookFailures >= kLookTries) {
    BeginLapse(aState, aWorker, aOut);
  }
  detail::LookBy(aState, aWorker, aNow + kLookRetry);
}

void
RegainWorker(CellState& aState, WorkerRow& aWorker, const WorkerLists& aLists, Effects& aOut)
{
  if (aWorker.mHealth == WorkerHealth::Unseen) {
    // Leases of an earlier owner end at the latest one lease after it was fenced by this look.
    aWorker.mLeaseSent = aLists.Clock() + aState.mSettings.Lease();
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

RunRow*
FindRun(CellState& aState, const std::string& aWorker, const RunId& aRun)
{
  const auto worker = aState.mWorkers.find(aWorker);
  if (worker == aState.mWorkers.end()) {
    return nullptr;
  }
  const auto it = worker->second.mRuns.find(aRun);
  return it == worker->second.mRuns.end() ? nullptr : &it->second;
}

/// The worker certainly does not run it and never will by this order.
void
StartFailed(CellState& aState,
            WorkerRow& aWorker,
            const RunId& aRun,
            OrderOutcome aOutcome,
            Time aNow,
            Effects& aOut)
{
  detail::Log(aOut,
              "start.refused",
              detail::Named(aRun),
              absl::StrCat("worker=",
                           aWorker.mRegistration.Id(),
                           " reason=",
                           std::string(ToString(aOutcome)),
                           " may_run_late=",
                           aWorker.mRuns.at(aRun).mStartLost));
  const bool mayRunLate = aWorker.mRuns.at(aRun).mStartLost;
  if (aOutcome == OrderOutcome::NoTicket) {
    if (auto* job = detail::FindJob(aState, aRun.mTask.Job())) {
      auto& advice =
        job->mOccurrences.at(aRun.mTask.Occurrence()).mSteps[aRun.mTask.Step()].mAdvice;
      advice.mTickets.erase(aWorker.mRegistration.Id());
      advice.mValidUntil.erase(aWorker.mRegistration.Id());
    }
  }
  if (aOutcome == OrderOutcome::Unhealthy || aOutcome == OrderOutcome::NoRoom) {
    aWorker.mAsideUntil = std::max(aWorker.mAsideUntil, aNow + kRefusalPause);
  }
  if (!mayRunLate) {
    detail::DropRun(aState, aWorker, aRun);
  }
  detail::Requeue(aState, aRun.mTask, aNow, aOut);
}

void
FencedByWorker(CellState& aState, const std::string& aWorker, Effects& aOut)
{
  detail::Log(aOut,
              "cell.fenced",
              absl::StrCat("epoch ", aState.mEpoch),
              absl::StrCat("by=worker ", aWorker));
  aState.mFenced = true;
}

bool
MayRenew(const CellState& aState, Time aNow)
{
  return aNow < aState.mConfirmedAt + aState.mSettings.Authority();
}

void
SendLook(CellState& aState, WorkerRow& aWorker, Time aNow, Effects& aOut)
{
  const bool renews =
    aWorker.mHealth == WorkerHealth::Reachable && !aWorker.mRuns.empty() && MayRenew(aState, aNow);
  LookAtWorker::Fields fields{ .mWorker = aWorker.mRegistration.Id(),
                               .mEndpoint = aWorker.mRegistration.Endpoint(),
                               .mEpoch = aState.mEpoch,
                               .mAcknowledged = aWorker.mEndStored,
                               .mLeaseUntil = std::nullopt,
                               .mWait = renews ? aState.mSettings.LookWait() : Time() };
  if (renews) {
    fields.mLeaseUntil = detail::LeaseFor(aState, aWorker, aNow);
    aWorker.mLeaseSent = std::max(aWorker.mLeaseSent, *fields.mLeaseUntil);
  }
  aWorker.mLookOpen = true;
  aWorker.mLookSent = aNow;
  aWorker.mNextLook = Time::Never();
  detail::Emit(aOut, LookAtWorker::Create(std::move(fields)).value());
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
HandleWorkersChanged(CellState& aState, const WorkersChanged& aEvent, Time aNow, Effects& aOut)
{
  for (const auto& entry : aEvent.Present()) {
    Register(aState, entry, aNow, aOut);
  }
  for (const auto& id : aEvent.Gone()) {
    Unregister(aState, id, aNow, aOut);
  }
  if (!aEvent.Complete()) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [id, worker] : aState.mWorkers) {
    const auto isPresent = [&name = id](const auto& aEntry) { return aEntry.Id() == name; };
    if (worker.mRegistered &&
        std::none_of(aEvent.Present().begin(), aEvent.Present().end(), isPresent)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    Unregister(aState, id, aNow, aOut);
  }
}

void
HandleLooked(CellState& aState, const WorkerLooked& aEvent, Time aNow, Effects& aOut)
{
  const auto it = aState.mWorkers.find(aEvent.Worker());
  if (it == aState.mWorkers.end()) {
    return;
  }
  auto& worker = it->second;
  worker.mLookOpen = false;
  if (aEvent.Outcome() == OrderOutcome::Fenced) {
    FencedByWorker(aState, aEvent.Worker(), aOut);
    return;
  }
  if (aEvent.Outcome() == OrderOutcome::WrongWorker) {
    EndForGood(aState, worker, aNow, aOut);
    return;
  }
  if (aEvent.Outcome() != OrderOutcome::Accepted) {
    CountFailedLook(aState, worker, aNow, aOut);
    return;
  }
  const auto& lists = aEvent.Lists();
  if (!SameLife(worker, lists.Born())) {
    EndLife(aState, worker, "started anew", aNow, aOut);
  }
  if (lists.Born() > Time()) {
    worker.mBorn = lists.Born();
  }
  const bool wasUnseen = worker.mHealth != WorkerHealth::Reachable;
  RegainWorker(aState, worker, lists, aOut);
  worker.mClock = lists.Clock();
  worker.mClockRead = aNow;
  detail::TakeLists(aState, worker, lists, aNow, aOut);
  if (worker.mRuns.empty()) {
    return;
  }
  // The first look under this epoch carried no lease.
  detail::LookBy(aState, worker, wasUnseen ? aNow : detail::NextLook(aState, worker, aNow));
}

void
HandleStartAnswered(CellState& aState, const StartAnswered& aEvent, Time aNow, Effects& aOut)
{
  const RunId run{ aEvent.Task(), aEvent.Run() };
  auto* row = FindRun(aState, aEvent.Worker(), run);
  if (aEvent.Outcome() == OrderOutcome::Fenced) {
    FencedByWorker(aState, aEvent.Worker(), aOut);
    return;
  }
  if (row == nullptr) {
    return;
  }
  auto& worker = aState.mWorkers.at(aEvent.Worker());
  row->mStartOpen = false;
  switch (aEvent.Outcome()) {
    case OrderOutcome::Accepted:
      detail::ConfirmRun(aState, run, *row, aNow);
      if (!worker.mLookOpen) {
        detail::LookBy(aState, worker, detail::NextLook(aState, worker, aNow));
      }
      return;
    case OrderOutcome::Unanswered:
    case OrderOutcome::NotSent:
      detail::Log(
        aOut,
        "start.unanswered",
        detail::Named(run),
        absl::StrCat(
          "worker=", aEvent.Worker(), " sent=", aEvent.Outcome() == OrderOutcome::Unanswered));
      row->mStartLost = row->mStartLost || aEvent.Outcome() == OrderOutcome::Unanswered;
      detail::LookBy(aState, worker, aNow);
      if (!row->mStartLost) {
        StartFailed(aState, worker, run, aEvent.Outcome(), aNow, aOut);
      } else if (!row->mStopWanted) {
        row->mStartAgain = aNow + aState.mSettings.OrderPause();
      }
      return;
    case OrderOutcome::Late:
      // The estimate of the worker's clock was off; the look reads it anew.
      detail::LookBy(aState, worker, aNow);
      row->mStartAgain = row->mStopWanted ? Time::Never() : aNow + aState.mSettings.OrderPause();
      return;
    case OrderOutcome::Obsolete:
      // The run has ended or was stopped there; the lists tell how.
      detail::ConfirmRun(aState, run, *row, aNow);
      detail::LookBy(aState, worker, aNow);
      return;
    case OrderOutcome::WrongWorker:
      EndForGood(aState, worker, aNow, aOut);
      return;
    case OrderOutcome::NoRoom:
    case OrderOutcome::NoTicket:
    case OrderOutcome::Unhealthy:
    case OrderOutcome::Malformed:
    case OrderOutcome::Fenced:
      StartFailed(aState, worker, run, aEvent.Outcome(), aNow, aOut);
      return;
  }
}

void
HandleStopAnswered(CellState& aState, const StopAnswered& aEvent, Time aNow, Effects& aOut)
{
  const RunId run{ aEvent.Task(), aEvent.Run() };
  auto* row = FindRun(aState, aEvent.Worker(), run);
  if (aEvent.Outcome() == OrderOutcome::Fenced) {
    FencedByWorker(aState, aEvent.Worker(), aOut);
    return;
  }
  if (row == nullptr) {
    return;
  }
  auto& worker = aState.mWorkers.at(aEvent.Worker());
  row->mStopOpen = false;
  if (aEvent.Outcome() == OrderOutcome::WrongWorker) {
    EndForGood(aState, worker, aNow, aOut);
    return;
  }
  if (aEvent.Outcome() == OrderOutcome::Accepted && row->mStopSent >= worker.mLifeSince) {
    row->mBarredAt = aNow;
    detail::LookBy(aState, worker, aNow + aState.mSettings.LookPause());
    return;
  }
  detail::Log(
    aOut,
    "stop.unanswered",
    detail::Named(run),
    absl::StrCat("worker=", aEvent.Worker(), " outcome=", std::string(ToString(aEvent.Outcome()))));
  row->mStopAgain = aNow + aState.mSettings.OrderPause();
}

void
HandleAdvice(CellState& aState, const AdviceAnswered& aEvent, Time aNow, Effects& aOut)
{
  auto* job = detail::FindJob(aState, aEvent.Job());
  auto* occurrence = detail::FindOccurrence(aState, aEvent.Job(), aEvent.Occurrence());
  if (job == nullptr || occurrence == nullptr || aEvent.Step() >= occurrence->mSteps.size()) {
    return;
  }
  auto& advice = occurrence->mSteps[aEvent.Step()].mAdvice;
  const auto& policy = detail::PolicyOf(aState, *job).Advice();
  detail::CloseQuestion(aState, advice);
  aState.mPlaceAgain = true;
  detail::Log(aOut,
              "advice.answered",
              absl::StrCat(aEvent.Job(), ".", aEvent.Occurrence(), ".", aEvent.Step()),
              absl::StrCat("answered=",
                           aEvent.Answered(),
                           " asked=",
                           aEvent.Workers().size(),
                           " allowed=",
                           aEvent.Tickets().size()));
  if (!aEvent.Answered() || !policy) {
    return;
  }
  for (const auto& worker : aEvent.Workers()) {
    advice.mBarred.insert(worker);
  }
  for (const auto& ticket : aEvent.Tickets()) {
    advice.mBarred.erase(ticket.Worker());
    advice.mTickets[ticket.Worker()] = ticket.Text();
    advice.mValidUntil[ticket.Worker()] = aNow + policy->Validity();
  }
  advice.mNextAsk = aNow;
}

void
TendWorkers(CellState& aState, Time aNow, Effects& aOut)
{
  auto due = Time::Never();
  std::vector<std::string> forgotten;
  for (auto& [id, worker] : aState.mWorkers) {
    if (worker.mHealth == WorkerHealth::Unseen && !worker.mRegistered && !worker.mRuns.empty()) {
      BeginLapse(aState, worker, aOut);
    }
    if (worker.mHealth == WorkerHealth::Lapsing && worker.mLapseAt <= aNow) {
      worker.mHealth = WorkerHealth::Lapsed;
      detail::Log(aOut, "worker.lapsed", id, absl::StrCat("runs=", worker.mRuns.size()));
      detail::EndAllRuns(aState, worker, RunEnd::Lapsed, aNow, aOut);
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
    if (aNow > aState.mWorkers.at(id).mGoneAt + kLapseSlack * 4) {
      aState.mWorkers.erase(id);
    }
  }
  aState.mLookDue = due;
}

} // namespace by
