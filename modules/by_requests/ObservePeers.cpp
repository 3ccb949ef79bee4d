#include "by_requests/ObservePeers.h"

#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_requests/detail/Route.h"
#include "by_requests/detail/Rows.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/AnswerQuery.h"
#include "by_schema/ForwardedAnswer.h"
#include "by_schema/ForwardedCancel.h"
#include "by_schema/ForwardedRequest.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/PeerUnreachable.h"

namespace by {

namespace {

void
SendAnswer(const RequestContext& aContext,
           const NodeId& aPeer,
           const RequestId& aRequest,
           const Answer& aAnswer,
           RequestActions& aActions)
{
  detail::AddFrame(aContext,
                   aPeer,
                   ForwardedAnswer::Create({ .mRequest = aRequest, .mAnswer = aAnswer }).value(),
                   aActions);
}

/// Handles a peer's refusal of a forwarded request: reroutes the request if it may be retried, and
/// finishes it otherwise.
void
HandleRefusal(RequestBook& aBook,
              const RequestContext& aContext,
              const RequestRow& aRow,
              const Answer& aAnswer,
              Time aNow,
              RequestActions& aActions)
{
  const auto maxAttempts = aContext.mSettings->Requests().MaxAttempts();
  const bool retry = !aRow.Abandoned() && aAnswer.Reason() != Reason::Cancelled &&
                     aAnswer.Reason() != Reason::NeverFits && aRow.Attempt() < maxAttempts &&
                     aNow < aRow.StartBy() && detail::SpendRetry(aBook);
  if (retry) {
    detail::Reroute(aBook, aContext, aRow, aNow, aActions);
    return;
  }
  detail::Finish(aBook, aContext, aRow, aAnswer, aNow, aActions);
}

RequestRow
ForwardedRow(const ForwardedRequest& aForwarded, Time aNow)
{
  return RequestRow::Create({ .mRequest = aForwarded.Request(),
                              .mPhase = RequestPhase::Queued,
                              .mAttempt = 1,
                              .mArrived = aNow,
                              .mStartBy = aNow + aForwarded.MaxWaitLeft(),
                              .mOrigin = aForwarded.From(),
                              .mOriginAttempt = aForwarded.Attempt(),
                              .mCheckAt = aNow + aForwarded.MaxWaitLeft() })
    .value();
}

} // namespace

void
ObserveForwarded(RequestBook& aBook,
                 const RequestContext& aContext,
                 const ForwardedRequest& aForwarded,
                 Time aNow,
                 RequestActions& aActions)
{
  const auto& id = aForwarded.Request().Id();
  const auto kept = aBook.mKeptAnswers.find(id);
  if (kept != aBook.mKeptAnswers.end()) {
    const auto& answer = kept->second.Answer();
    // A refusal does not prevent a later attempt, unless the request was cancelled.
    const bool isFinal =
      answer.Outcome() != Outcome::NotRun || answer.Reason() == Reason::Cancelled;
    if (isFinal || answer.Attempt() >= aForwarded.Attempt()) {
      SendAnswer(
        aContext, aForwarded.From(), id, answer.WithAttempt(aForwarded.Attempt()), aActions);
      return;
    }
    aBook.mKeptAnswersByAge.erase({ kept->second.At(), id });
    aBook.mKeptBytes -= static_cast<std::int64_t>(answer.Payload().size());
    aBook.mKeptAnswers.erase(kept);
  }
  if (detail::FindRow(aBook, id) != nullptr) {
    return;
  }
  const auto row = ForwardedRow(aForwarded, aNow);
  if (!aContext.mReady) {
    const auto answer = detail::AnswerWithoutResult(
      row, Outcome::NotRun, Reason::NotReady, "the node accepts no new work");
    detail::Finish(aBook, aContext, row, answer, aNow, aActions);
    return;
  }
  detail::Route(aBook, aContext, row, aNow, aActions);
}

void
ObserveForwardedAnswer(RequestBook& aBook,
                       const RequestContext& aContext,
                       const NodeId& aFrom,
                       const ForwardedAnswer& aAnswer,
                       Time aNow,
                       RequestActions& aActions)
{
  const auto* found = detail::FindRow(aBook, aAnswer.Request());
  if (found == nullptr || found->Peer() != aFrom) {
    return;
  }
  const auto row = *found;
  auto answer = aAnswer.Answer().WithRequest(row.Request().Id());
  if (row.Phase() == RequestPhase::Querying) {
    detail::Finish(aBook, aContext, row, answer, aNow, aActions);
    return;
  }
  if (row.Phase() != RequestPhase::Forwarded || answer.Attempt() != row.Attempt()) {
    return;
  }
  if (answer.Outcome() == Outcome::NotRun) {
    HandleRefusal(aBook, aContext, row, answer, aNow, aActions);
    return;
  }
  answer = answer.WithWaited(aNow - row.Arrived() - answer.Ran());
  detail::Finish(aBook, aContext, row, answer, aNow, aActions);
}

void
ObserveForwardedCancel(RequestBook& aBook,
                       const RequestContext& aContext,
                       const NodeId& aFrom,
                       const ForwardedCancel& aCancel,
                       Time aNow,
                       RequestActions& aActions)
{
  const auto& id = aCancel.Request();
  const auto kept = aBook.mKeptAnswers.find(id);
  if (kept != aBook.mKeptAnswers.end()) {
    SendAnswer(aContext, aFrom, id, kept->second.Answer(), aActions);
    return;
  }
  const auto* found = detail::FindRow(aBook, id);
  if (found != nullptr && found->Phase() != RequestPhase::Queued) {
    return;
  }
  if (found != nullptr) {
    CancelWork(*aContext.mScheduler, TaskId(id.Text()));
    const auto answer = detail::AnswerWithoutResult(
      *found, Outcome::NotRun, Reason::Cancelled, "the request was cancelled");
    detail::Finish(aBook, aContext, *found, answer, aNow, aActions);
    return;
  }
  // The request has not arrived. If it arrives later, the kept refusal answers it.
  const auto answer = Answer::Create({ .mRequest = id,
                                       .mAttempt = aCancel.Attempt(),
                                       .mOutcome = Outcome::NotRun,
                                       .mReason = Reason::Cancelled,
                                       .mDetail = "the request was cancelled" })
                        .value();
  // The cancellation names no team, label or kind; the kept answer needs placeholders for them.
  const auto request =
    Request::Create({ .mId = id, .mTeam = TeamId("-"), .mLabel = "-", .mKind = "-" }).value();
  detail::KeepAnswer(
    aBook, RequestRow::Create({ .mRequest = request, .mOrigin = aFrom }).value(), answer, aNow);
  SendAnswer(aContext, aFrom, id, answer, aActions);
}

void
ObserveAnswerQuery(RequestBook& aBook,
                   const RequestContext& aContext,
                   const AnswerQuery& aQuery,
                   RequestActions& aActions)
{
  const auto waiter =
    RequestWaiter::Create({ .mRequest = aQuery.Request(), .mNode = aQuery.From() }).value();
  if (const auto* held = detail::FindRow(aBook, aQuery.ClaimedBy())) {
    auto waiters = held->Waiters();
    waiters.push_back(waiter);
    detail::PutRow(aBook, held->WithWaiters(std::move(waiters)));
    return;
  }
  const auto kept = aBook.mKeptAnswers.find(aQuery.ClaimedBy());
  if (kept != aBook.mKeptAnswers.end()) {
    detail::AnswerWaiter(aContext, waiter, kept->second.Answer(), aActions);
    return;
  }
  const auto answer = Answer::Create({ .mRequest = aQuery.Request(),
                                       .mOutcome = Outcome::Unknown,
                                       .mReason = Reason::TooOld,
                                       .mDetail = "the answer to this label is no longer kept" })
                        .value();
  detail::AnswerWaiter(aContext, waiter, answer, aActions);
}

void
ObservePeerUnreachable(RequestBook& aBook,
                       const RequestContext& aContext,
                       const PeerUnreachable& aUnreachable,
                       Time aNow,
                       RequestActions& aActions)
{
  for (const auto& id : aUnreachable.Unsent()) {
    const auto* found = detail::FindRow(aBook, id);
    const bool waits = found != nullptr && found->Phase() == RequestPhase::Forwarded &&
                       found->Peer() == aUnreachable.Peer();
    if (waits) {
      detail::Reroute(aBook, aContext, RequestRow(*found), aNow, aActions);
    }
  }
}

} // namespace by
