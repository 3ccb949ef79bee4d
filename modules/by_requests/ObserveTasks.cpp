#include "by_requests/ObserveTasks.h"

#include <algorithm>
#include <vector>

#include "by_membership/by_membership.h"
#include "by_ownership/by_ownership.h"
#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_requests/detail/Route.h"
#include "by_requests/detail/Rows.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/SendStart.h"
#include "by_schema/TaskResult.h"
#include "by_schema/TaskUnanswered.h"

namespace by {

namespace {

SendStart
MakeStart(const RequestContext& aContext,
          const RequestRow& aRow,
          const VmDescription& aVm,
          std::uint64_t aEpoch,
          Time aNow)
{
  const auto& request = aRow.Request();
  const auto deadline =
    StartDeadline(*aContext.mOwnership, aVm.Vm(), aNow, aContext.mSettings->Cluster());
  auto start =
    TaskStart::Create({ .mTask = TaskId(request.Id().Text()),
                        .mGeneration = aRow.Attempt(),
                        .mOwner = aContext.mSelf,
                        .mEpoch = aEpoch,
                        .mNotAfter = deadline,
                        .mTeam = request.Team(),
                        .mLabel = request.Label(),
                        .mKind = request.Kind(),
                        .mIdempotent = request.Idempotent(),
                        .mWorkClass = WorkClass::Request,
                        .mResources = request.Resources(),
                        .mDeclaredLength = request.DeclaredLength(),
                        .mPayload = request.Payload(),
                        .mIncarnation = ServerIncarnation(*aContext.mOwnership, aVm.Vm()) })
      .value();
  return SendStart::Create({ .mVm = aVm.Vm(),
                             .mEndpoint = aVm.Endpoint(),
                             .mStart = std::move(start),
                             .mWaitForEnd = true })
    .value();
}

/// @returns the time from which the run limit counts.
Time
RunLimitStart(const RequestRow& aRow, Time aNow)
{
  return std::max(aRow.StartBy(), aNow);
}

bool
MayRetry(RequestBook& aBook, const RequestContext& aContext, const RequestRow& aRow, Time aNow)
{
  const auto maxAttempts = aContext.mSettings->Requests().MaxAttempts();
  return aRow.Attempt() < maxAttempts && aNow < aRow.StartBy() && detail::SpendRetry(aBook);
}

/// Reroutes a request whose task certainly did not start, or finishes it as not run.
void
HandleNotStarted(RequestBook& aBook,
                 const RequestContext& aContext,
                 const RequestRow& aRow,
                 const std::string& aDetail,
                 Time aNow,
                 RequestActions& aActions)
{
  TaskEnded(
    *aContext.mScheduler, TaskId(aRow.Request().Id().Text()), TaskState::NotStarted, Time(), aNow);
  if (MayRetry(aBook, aContext, aRow, aNow)) {
    detail::Reroute(aBook, aContext, aRow, aNow, aActions);
    return;
  }
  const auto answer = detail::AnswerWithoutResult(
    aRow.WithVm(VmId()), Outcome::NotRun, Reason::Refused, "could not be started: " + aDetail);
  detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
}

/// Retries an idempotent request whose task certainly ended without a usable result, or finishes it
/// as unknown.
void
HandleEndedWithoutResult(RequestBook& aBook,
                         const RequestContext& aContext,
                         const RequestRow& aRow,
                         const std::string& aDetail,
                         Time aNow,
                         RequestActions& aActions)
{
  if (aRow.Request().Idempotent() && MayRetry(aBook, aContext, aRow, aNow)) {
    detail::Reroute(aBook, aContext, aRow, aNow, aActions);
    return;
  }
  const auto answer = detail::AnswerWithoutResult(aRow, Outcome::Unknown, Reason::Lost, aDetail);
  detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
}

/// Reroutes an idempotent request whose task was preempted, with its full maximum wait; finishes
/// any other request as unknown.
void
HandlePreempted(RequestBook& aBook,
                const RequestContext& aContext,
                const RequestRow& aRow,
                Time aNow,
                RequestActions& aActions)
{
  if (!aRow.Request().Idempotent()) {
    const auto answer = detail::AnswerWithoutResult(
      aRow, Outcome::Unknown, Reason::Lost, "it was stopped while it ran");
    detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
    return;
  }
  const auto resumed = aRow.WithStartBy(aNow + aRow.Request().MaxWait());
  detail::Reroute(aBook, aContext, resumed, aNow, aActions);
}

/// Finishes a request with the result of its task. A failed idempotent request is retried instead,
/// if that is allowed.
void
HandleCompleted(RequestBook& aBook,
                const RequestContext& aContext,
                const RequestRow& aRow,
                const TaskResult& aResult,
                Time aNow,
                RequestActions& aActions)
{
  const bool failed = aResult.State() == TaskState::Failed;
  if (failed && aRow.Request().Idempotent() && MayRetry(aBook, aContext, aRow, aNow)) {
    detail::Reroute(aBook, aContext, aRow, aNow, aActions);
    return;
  }
  const auto answer = Answer::Create({ .mRequest = aRow.Request().Id(),
                                       .mAttempt = aRow.Attempt(),
                                       .mOutcome = Outcome::Answered,
                                       .mReason = failed ? Reason::TaskFailed : Reason::None,
                                       .mDetail = aResult.Detail(),
                                       .mPayload = aResult.Payload(),
                                       .mVm = aRow.Vm(),
                                       .mWaited = aRow.Started() - aRow.Arrived(),
                                       .mRan = aResult.Ran() })
                        .value();
  detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
}

const RequestRow*
FindRunning(const RequestBook& aBook,
            const VmId& aVm,
            const TaskId& aTask,
            std::uint64_t aGeneration)
{
  const auto* row = detail::FindRow(aBook, RequestId(aTask.Text()));
  const bool current = row != nullptr && row->Phase() == RequestPhase::Running &&
                       row->Vm() == aVm && row->Attempt() == aGeneration;
  return current ? row : nullptr;
}

} // namespace

void
ObservePlacedRequest(RequestBook& aBook,
                     const RequestContext& aContext,
                     const PlacedWork& aPlaced,
                     Time aNow,
                     RequestActions& aActions)
{
  const auto* found = detail::FindRow(aBook, RequestId(aPlaced.Task().Text()));
  const auto* vm = FindVm(*aContext.mMembership, aPlaced.Vm());
  if (found == nullptr || found->Phase() != RequestPhase::Queued) {
    TaskEnded(*aContext.mScheduler, aPlaced.Task(), TaskState::NotStarted, Time(), aNow);
    return;
  }
  const auto epoch =
    AuthorityOn(*aContext.mOwnership, aPlaced.Vm(), aNow, aContext.mSettings->Cluster());
  if (vm == nullptr || !epoch.has_value()) {
    HandleNotStarted(
      aBook, aContext, RequestRow(*found), "the lease of its VM has expired", aNow, aActions);
    return;
  }
  auto fields = found->ToFields();
  fields.mPhase = RequestPhase::Running;
  fields.mVm = aPlaced.Vm();
  fields.mStarted = aNow;
  fields.mCheckAt = RunLimitStart(*found, aNow) + aContext.mSettings->Requests().RunLimit();
  const auto row = RequestRow::Create(std::move(fields)).value();
  detail::PutRow(aBook, row);
  detail::AddEffect(MakeStart(aContext, row, *vm, *epoch, aNow), aActions);
}

void
ObserveRefusedRequest(RequestBook& aBook,
                      const RequestContext& aContext,
                      const RefusedWork& aRefused,
                      Time aNow,
                      RequestActions& aActions)
{
  const auto* row = detail::FindRow(aBook, RequestId(aRefused.Task().Text()));
  if (row == nullptr || row->Phase() != RequestPhase::Queued) {
    return;
  }
  const auto answer =
    detail::AnswerWithoutResult(*row, Outcome::NotRun, aRefused.Reason(), aRefused.Detail());
  detail::Finish(aBook, aContext, *row, answer, aNow, aActions);
}

void
ObserveRequestResult(RequestBook& aBook,
                     const RequestContext& aContext,
                     const VmId& aVm,
                     const TaskResult& aResult,
                     Time aNow,
                     RequestActions& aActions)
{
  const auto* found = FindRunning(aBook, aVm, aResult.Task(), aResult.Generation());
  if (found == nullptr) {
    return;
  }
  const auto row = *found;
  if (aResult.State() == TaskState::NotStarted) {
    HandleNotStarted(aBook, aContext, row, aResult.Detail(), aNow, aActions);
    return;
  }
  TaskEnded(*aContext.mScheduler, aResult.Task(), aResult.State(), aResult.Ran(), aNow);
  switch (aResult.State()) {
    case TaskState::Stopped:
    case TaskState::Checkpointed:
      HandlePreempted(aBook, aContext, row, aNow, aActions);
      return;
    case TaskState::Lost:
      HandleEndedWithoutResult(aBook, aContext, row, aResult.Detail(), aNow, aActions);
      return;
    default:
      HandleCompleted(aBook, aContext, row, aResult, aNow, aActions);
      return;
  }
}

void
ObserveRequestUnanswered(RequestBook& aBook,
                         const RequestContext& aContext,
                         const TaskUnanswered& aUnanswered,
                         Time aNow,
                         RequestActions& aActions)
{
  const auto* found =
    FindRunning(aBook, aUnanswered.Vm(), aUnanswered.Task(), aUnanswered.Generation());
  if (found == nullptr) {
    return;
  }
  const auto row = *found;
  if (!aUnanswered.MayHaveStarted()) {
    HandleNotStarted(aBook, aContext, row, aUnanswered.Detail(), aNow, aActions);
    return;
  }
  // The resources stay committed: the task may run until the VM's lease expires or an inventory
  // reports its state.
  const auto answer =
    detail::AnswerWithoutResult(row, Outcome::Unknown, Reason::Lost, aUnanswered.Detail());
  detail::Finish(aBook, aContext, row, answer, aNow, aActions);
}

void
ObserveRequestsLostOn(RequestBook& aBook,
                      const RequestContext& aContext,
                      const VmId& aVm,
                      Time aNow,
                      RequestActions& aActions)
{
  std::vector<RequestRow> lost;
  for (const auto& [id, row] : aBook.mRows) {
    if (row.Phase() == RequestPhase::Running && row.Vm() == aVm) {
      lost.push_back(row);
    }
  }
  std::sort(lost.begin(), lost.end());
  for (const auto& row : lost) {
    HandleEndedWithoutResult(aBook, aContext, row, "its VM was lost", aNow, aActions);
  }
}

} // namespace by
