#include "by_requests/SubmitRequest.h"

#include <vector>

#include "by_claims/by_claims.h"
#include "by_log_state/LogState.h"
#include "by_membership/by_membership.h"
#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_requests/detail/Route.h"
#include "by_requests/detail/Rows.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/AnswerQuery.h"
#include "by_schema/ForwardedCancel.h"
#include "by_schema/NodeSettings.h"

namespace by {

namespace {

constexpr Time kPeerCheckInterval = Time::FromMilliseconds(1000);
/// Maximum of RequestBook::mRetryCredit, in hundredths of a retry.
constexpr std::int64_t kMaxRetryCredit = 100'000;

RequestRow
NewRow(const Request& aRequest, Time aNow)
{
  return RequestRow::Create({ .mRequest = aRequest,
                              .mPhase = RequestPhase::Queued,
                              .mAttempt = 1,
                              .mArrived = aNow,
                              .mStartBy = aNow + aRequest.MaxWait(),
                              .mCheckAt = aNow + aRequest.MaxWait() })
    .value();
}

void
Refuse(RequestBook& aBook,
       const RequestContext& aContext,
       const RequestRow& aRow,
       Reason aReason,
       std::string aDetail,
       Time aNow,
       RequestActions& aActions)
{
  const auto answer =
    detail::AnswerWithoutResult(aRow, Outcome::NotRun, aReason, std::move(aDetail));
  detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
}

/// Attaches a repeat to the request with the same label that this node holds or has answered.
void
JoinExistingRequest(RequestBook& aBook,
                    const RequestContext& aContext,
                    const RequestRow& aRow,
                    const RequestId& aHolder,
                    RequestActions& aActions)
{
  const auto waiter = RequestWaiter::Create({ .mRequest = aRow.Request().Id() }).value();
  if (const auto* held = detail::FindRow(aBook, aHolder)) {
    auto waiters = held->Waiters();
    waiters.push_back(waiter);
    detail::PutRow(aBook, held->WithWaiters(std::move(waiters)));
    return;
  }
  const auto kept = aBook.mKeptAnswers.find(aHolder);
  if (kept != aBook.mKeptAnswers.end()) {
    detail::AnswerWaiter(aContext, waiter, kept->second.Answer(), aActions);
    return;
  }
  const auto answer = detail::AnswerWithoutResult(
    aRow, Outcome::Unknown, Reason::TooOld, "the answer to this label is no longer kept");
  detail::AnswerWaiter(aContext, waiter, answer, aActions);
}

/// Queries the node that holds the claim. Finishes the request as unknown if that process no longer
/// exists.
void
QueryClaimHolder(RequestBook& aBook,
                 const RequestContext& aContext,
                 const RequestRow& aRow,
                 const ClaimRow& aClaim,
                 Time aNow,
                 RequestActions& aActions)
{
  if (aClaim.Node() == aContext.mSelf && aClaim.Incarnation() == aContext.mIncarnation) {
    // aRow may refer to an element of the table that is modified below.
    const auto row = aRow; // NOLINT(performance-unnecessary-copy-initialization)
    detail::RemoveRow(aBook, row);
    JoinExistingRequest(aBook, aContext, row, aClaim.Request(), aActions);
    return;
  }
  const auto* holder = FindMember(*aContext.mMembership, aClaim.Node());
  if (holder == nullptr || holder->Incarnation() != aClaim.Incarnation()) {
    const auto answer = detail::AnswerWithoutResult(
      aRow, Outcome::Unknown, Reason::Lost, "the node that held this label is gone");
    detail::Finish(aBook, aContext, aRow.WithPhase(RequestPhase::Querying), answer, aNow, aActions);
    return;
  }
  auto fields = aRow.ToFields();
  fields.mPhase = RequestPhase::Querying;
  fields.mPeer = aClaim.Node();
  fields.mPeerIncarnation = aClaim.Incarnation();
  fields.mClaimedBy = aClaim.Request();
  fields.mCheckAt = aNow + kPeerCheckInterval;
  detail::PutRow(aBook, RequestRow::Create(std::move(fields)).value());
  detail::AddFrame(aContext,
                   aClaim.Node(),
                   AnswerQuery::Create({ .mFrom = aContext.mSelf,
                                         .mRequest = aRow.Request().Id(),
                                         .mTeam = aRow.Request().Team(),
                                         .mLabel = aRow.Request().Label(),
                                         .mClaimedBy = aClaim.Request() })
                     .value(),
                   aActions);
}

/// Continues with a request whose label is already claimed.
/// @returns whether it is claimed.
bool
ResumeFromClaim(RequestBook& aBook,
                const RequestContext& aContext,
                const RequestRow& aRow,
                Time aNow,
                RequestActions& aActions)
{
  const auto& request = aRow.Request();
  const auto& claims = aContext.mLogState->mClaims;
  switch (EvaluateClaim(
    claims, request.Team(), request.Label(), request.Id(), detail::DigestOf(request))) {
    case ClaimVerdict::Free:
      return false;
    case ClaimVerdict::Held:
      aBook.mClaiming.erase(request.Id());
      detail::Route(aBook, aContext, aRow.WithClaimed(true), aNow, aActions);
      return true;
    case ClaimVerdict::LabelReused:
      aBook.mClaiming.erase(request.Id());
      Refuse(aBook,
             aContext,
             aRow.WithPhase(RequestPhase::Queued),
             Reason::LabelReused,
             "the label was used for other work",
             aNow,
             aActions);
      return true;
    case ClaimVerdict::Taken:
      aBook.mClaiming.erase(request.Id());
      QueryClaimHolder(
        aBook, aContext, aRow, *FindClaim(claims, request.Team(), request.Label()), aNow, aActions);
      return true;
  }
  return false;
}

void
Claim(RequestBook& aBook, const RequestRow& aRow, RequestActions& aActions)
{
  const auto& request = aRow.Request();
  aBook.mClaiming.insert(request.Id());
  aBook.mByLabel[detail::KeyOf(request)] = request.Id();
  detail::PutRow(aBook, aRow.WithPhase(RequestPhase::Claiming));
  aActions.mClaims.push_back(RequestClaim::Create({ .mTeam = request.Team(),
                                                    .mLabel = request.Label(),
                                                    .mRequest = request.Id(),
                                                    .mDigest = detail::DigestOf(request) })
                               .value());
}

void
SubmitNonIdempotent(RequestBook& aBook,
                    const RequestContext& aContext,
                    const RequestRow& aRow,
                    Time aNow,
                    RequestActions& aActions)
{
  const auto& request = aRow.Request();
  if (ResumeFromClaim(aBook, aContext, aRow, aNow, aActions)) {
    return;
  }
  const auto pending = aBook.mByLabel.find(detail::KeyOf(request));
  if (pending != aBook.mByLabel.end()) {
    const auto* held = detail::FindRow(aBook, pending->second);
    if (detail::DigestOf(held->Request()) != detail::DigestOf(request)) {
      Refuse(aBook,
             aContext,
             aRow,
             Reason::LabelReused,
             "the label was used for other work",
             aNow,
             aActions);
      return;
    }
    JoinExistingRequest(aBook, aContext, aRow, pending->second, aActions);
    return;
  }
  if (!aContext.mLogFresh) {
    Refuse(aBook,
           aContext,
           aRow,
           Reason::LogUnavailable,
           "the log can't be reached, so one run at most can't be promised",
           aNow,
           aActions);
    return;
  }
  Claim(aBook, aRow, aActions);
}

} // namespace

void
SubmitRequest(RequestBook& aBook,
              const RequestContext& aContext,
              const Request& aRequest,
              Time aNow,
              RequestActions& aActions)
{
  const auto row = NewRow(aRequest, aNow);
  aBook.mRetryCredit = std::min(
    kMaxRetryCredit, aBook.mRetryCredit + aContext.mSettings->Requests().RetryBudgetPercent());
  if (!aContext.mReady) {
    const auto* detail = aContext.mDraining ? "the node is stopping" : "the node is not ready";
    Refuse(aBook, aContext, row, Reason::NotReady, detail, aNow, aActions);
    return;
  }
  if (aRequest.Idempotent()) {
    detail::Route(aBook, aContext, row, aNow, aActions);
    return;
  }
  SubmitNonIdempotent(aBook, aContext, row, aNow, aActions);
}

void
ObserveCallerGone(RequestBook& aBook,
                  const RequestContext& aContext,
                  const RequestId& aRequest,
                  Time aNow,
                  RequestActions& aActions)
{
  const auto* found = detail::FindRow(aBook, aRequest);
  if (found == nullptr) {
    return;
  }
  const auto row = found->WithAbandoned(true);
  detail::PutRow(aBook, row);
  const bool waited = row.Phase() == RequestPhase::Queued || row.Phase() == RequestPhase::Claiming;
  if (waited && row.Waiters().empty()) {
    CancelWork(*aContext.mScheduler, TaskId(aRequest.Text()));
    Refuse(aBook, aContext, row, Reason::Cancelled, "the caller is gone", aNow, aActions);
    return;
  }
  if (row.Phase() == RequestPhase::Forwarded && row.Waiters().empty()) {
    detail::AddFrame(
      aContext,
      row.Peer(),
      ForwardedCancel::Create({ .mRequest = aRequest, .mAttempt = row.Attempt() }).value(),
      aActions);
  }
}

void
ObserveClaims(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions)
{
  const std::vector<RequestId> waiting(aBook.mClaiming.begin(), aBook.mClaiming.end());
  for (const auto& id : waiting) {
    if (const auto* row = detail::FindRow(aBook, id)) {
      ResumeFromClaim(aBook, aContext, RequestRow(*row), aNow, aActions);
    }
  }
  for (auto it = aBook.mClaimsToRelease.begin(); it != aBook.mClaimsToRelease.end();) {
    const auto* claim = FindClaim(aContext.mLogState->mClaims, it->first.Team(), it->first.Label());
    if (claim == nullptr) {
      ++it;
      continue;
    }
    if (claim->Request() == it->second) {
      aActions.mClaims.push_back(RequestClaim::Create({ .mTeam = it->first.Team(),
                                                        .mLabel = it->first.Label(),
                                                        .mRequest = it->second,
                                                        .mRelease = true })
                                   .value());
    }
    it = aBook.mClaimsToRelease.erase(it);
  }
}

} // namespace by
