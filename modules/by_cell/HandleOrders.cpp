#include "by_cell/HandleOrders.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_cell/detail/Incarnations.h"
#include "by_cell/detail/Jobs.h"
#include "by_cell/detail/PollTimes.h"
#include "by_cell/detail/Runs.h"
#include "by_cell/detail/Tables.h"

namespace by {

namespace {

/// Quarantine of a worker that rejects a start for lack of capacity or health.
constexpr Time kRefusalDelay = Time::FromMilliseconds(500);
/// A run of which so many starts went unanswered, although its worker answers polls, is placed
/// elsewhere once it has been stopped.
constexpr std::uint32_t kMaxUnansweredStarts = 4;

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

/// Finds the run that an answer refers to, and marks this owner as fenced if the answer says so.
/// @returns the run, or nullptr where the answer needs no further handling.
RunRow*
FindAnsweredRun(CellState& aState,
                const std::string& aWorker,
                const RunId& aRun,
                OrderOutcome aOutcome,
                Effects& aOut)
{
  if (aOutcome == OrderOutcome::Fenced) {
    detail::MarkFencedByWorker(aState, aWorker, aOut);
    return nullptr;
  }
  return FindRun(aState, aWorker, aRun);
}

/// Handles a start order that was not carried out and never will be; an earlier order that went
/// unanswered may still start the run.
void
HandleFailedStart(CellState& aState,
                  WorkerRow& aWorker,
                  const RunId& aRun,
                  OrderOutcome aOutcome,
                  Time aNow,
                  Effects& aOut)
{
  detail::Log(aOut,
              "start.refused",
              detail::FormatRunId(aRun),
              absl::StrCat("worker=",
                           aWorker.mRegistration.Id(),
                           " reason=",
                           std::string(ToString(aOutcome)),
                           " may_run_late=",
                           aWorker.mRuns.at(aRun).mStartUnanswered));
  const bool mayRunLate = aWorker.mRuns.at(aRun).mStartUnanswered;
  if (aOutcome == OrderOutcome::NoTicket) {
    if (auto* job = detail::FindJob(aState, aRun.mTask.Job())) {
      job->mOccurrences.at(aRun.mTask.Occurrence())
        .mSteps[aRun.mTask.Step()]
        .mAdvice.mTickets.erase(aWorker.mRegistration.Id());
    }
  }
  if (aOutcome == OrderOutcome::Unhealthy || aOutcome == OrderOutcome::NoCapacity ||
      aOutcome == OrderOutcome::Unanswered) {
    aWorker.mQuarantinedUntil = std::max(aWorker.mQuarantinedUntil, aNow + kRefusalDelay);
  }
  if (!mayRunLate) {
    detail::RemoveRun(aState, aWorker, aRun);
  }
  detail::Requeue(aState, aRun.mTask, aNow, aOut);
}

/// Handles the answer to a start for an earlier process of its worker. It says nothing of the
/// current one, and the run is being stopped there unless the answer shows that it never began.
void
HandleLateStartAnswer(CellState& aState,
                      WorkerRow& aWorker,
                      const RunId& aRun,
                      OrderOutcome aOutcome,
                      Effects& aOut)
{
  auto& row = aWorker.mRuns.at(aRun);
  const bool mayHaveBegun =
    aOutcome == OrderOutcome::Accepted || aOutcome == OrderOutcome::Obsolete ||
    aOutcome == OrderOutcome::LeaseExpired || aOutcome == OrderOutcome::Unanswered;
  row.mStartUnanswered = row.mStartUnanswered || mayHaveBegun;
  detail::Log(aOut,
              "start.late_answer",
              detail::FormatRunId(aRun),
              absl::StrCat("worker=",
                           aWorker.mRegistration.Id(),
                           " outcome=",
                           std::string(ToString(aOutcome)),
                           " may_have_begun=",
                           row.mStartUnanswered));
  if (!row.mStartUnanswered) {
    detail::RemoveRun(aState, aWorker, aRun);
  }
}

} // namespace

void
HandleStartAnswered(CellState& aState, const StartAnswered& aEvent, Time aNow, Effects& aOut)
{
  const RunId run{ aEvent.Task(), aEvent.Run() };
  auto* row = FindAnsweredRun(aState, aEvent.Worker(), run, aEvent.Outcome(), aOut);
  if (row == nullptr) {
    return;
  }
  auto& worker = aState.mWorkers.at(aEvent.Worker());
  row->mStartInFlight = false;
  if (row->mOrderedAt < worker.mIncarnationSince) {
    HandleLateStartAnswer(aState, worker, run, aEvent.Outcome(), aOut);
    return;
  }
  switch (aEvent.Outcome()) {
    case OrderOutcome::Accepted:
      detail::ConfirmRun(aState, run, *row, aNow);
      if (!worker.mPollInFlight) {
        detail::SchedulePoll(aState, worker, detail::NextPollTime(aState, worker, aNow));
      }
      return;
    case OrderOutcome::Unanswered:
    case OrderOutcome::NotSent:
      detail::Log(
        aOut,
        "start.unanswered",
        detail::FormatRunId(run),
        absl::StrCat(
          "worker=", aEvent.Worker(), " sent=", aEvent.Outcome() == OrderOutcome::Unanswered));
      row->mStartUnanswered = row->mStartUnanswered || aEvent.Outcome() == OrderOutcome::Unanswered;
      if (row->mStartUnanswered) {
        worker.mSilentSince = std::min(worker.mSilentSince, aNow);
        row->mStartTimedOutAt = aNow;
        ++row->mUnansweredStarts;
      }
      detail::SchedulePoll(aState, worker, aNow);
      if (!row->mStartUnanswered || row->mUnansweredStarts >= kMaxUnansweredStarts) {
        HandleFailedStart(aState, worker, run, aEvent.Outcome(), aNow, aOut);
      } else if (!row->mStopRequested) {
        row->mStartRetryAt = aNow + aState.mSettings.OrderRetryDelay();
      }
      return;
    case OrderOutcome::LeaseExpired:
      // The estimate of the worker's clock was off; the poll reads the clock again.
      detail::SchedulePoll(aState, worker, aNow);
      row->mStartRetryAt =
        row->mStopRequested ? Time::Never() : aNow + aState.mSettings.OrderRetryDelay();
      return;
    case OrderOutcome::Obsolete:
      // The run has ended or was stopped on the worker; its next report says how.
      detail::ConfirmRun(aState, run, *row, aNow);
      detail::SchedulePoll(aState, worker, aNow);
      return;
    case OrderOutcome::WrongWorker:
      detail::RetireWorker(aState, worker, aNow, aOut);
      return;
    case OrderOutcome::OtherProcess:
      // No order can be sent before the new process is known. A poll of the earlier one may stay
      // unanswered for a while. Other starts that met the new process have led to a poll already.
      if (worker.mHealth != WorkerHealth::Unseen) {
        worker.mHealth = WorkerHealth::Unseen;
        worker.mPollInFlight = false;
        detail::SchedulePoll(aState, worker, aNow);
      }
      HandleFailedStart(aState, worker, run, aEvent.Outcome(), aNow, aOut);
      return;
    case OrderOutcome::NoCapacity:
    case OrderOutcome::NoTicket:
    case OrderOutcome::Unhealthy:
    case OrderOutcome::Malformed:
    case OrderOutcome::Fenced:
      HandleFailedStart(aState, worker, run, aEvent.Outcome(), aNow, aOut);
      return;
  }
}

void
HandleStopAnswered(CellState& aState, const StopAnswered& aEvent, Time aNow, Effects& aOut)
{
  const RunId run{ aEvent.Task(), aEvent.Run() };
  auto* row = FindAnsweredRun(aState, aEvent.Worker(), run, aEvent.Outcome(), aOut);
  if (row == nullptr) {
    return;
  }
  auto& worker = aState.mWorkers.at(aEvent.Worker());
  row->mStopInFlight = false;
  const bool isForProcess = row->mStopSentAt >= worker.mIncarnationSince;
  if (aEvent.Outcome() == OrderOutcome::WrongWorker && isForProcess) {
    detail::RetireWorker(aState, worker, aNow, aOut);
    return;
  }
  if (aEvent.Outcome() == OrderOutcome::Accepted && isForProcess) {
    row->mStopConfirmedAt = aNow;
    row->mUnlistedSinceReport = 0;
    detail::SchedulePoll(aState, worker, aNow + aState.mSettings.MinPollInterval());
    return;
  }
  detail::Log(
    aOut,
    "stop.unanswered",
    detail::FormatRunId(run),
    absl::StrCat("worker=", aEvent.Worker(), " outcome=", std::string(ToString(aEvent.Outcome()))));
  row->mStopRetryAt = aNow + aState.mSettings.OrderRetryDelay();
}

} // namespace by
