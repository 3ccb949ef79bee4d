#include "by_requests/CheckRequests.h"

#include <algorithm>
#include <vector>

#include "by_membership/by_membership.h"
#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_requests/detail/Route.h"
#include "by_requests/detail/Rows.h"
#include "by_scheduling/by_scheduling.h"
#include "by_schema/ForwardedCancel.h"
#include "by_schema/HeldRequest.h"
#include "by_schema/NodeSettings.h"

namespace by {

namespace {

constexpr Time kPeerCheckInterval = Time::FromMilliseconds(1000);
constexpr Time kCancelGrace = Time::FromMilliseconds(1000);

void
FinishUnknown(RequestBook& aBook,
              const RequestContext& aContext,
              const RequestRow& aRow,
              std::string aDetail,
              Time aNow,
              RequestActions& aActions)
{
  const auto answer =
    detail::AnswerWithoutResult(aRow, Outcome::Unknown, Reason::Lost, std::move(aDetail));
  detail::Finish(aBook, aContext, aRow, answer, aNow, aActions);
}

void
FinishNotRun(RequestBook& aBook,
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

bool
IsPeerLost(const RequestContext& aContext, const RequestRow& aRow, Time aNow)
{
  const auto* peer = FindMember(*aContext.mMembership, aRow.Peer());
  if (peer == nullptr || peer->Incarnation() != aRow.PeerIncarnation()) {
    return true;
  }
  return MemberStatusOf(*peer, aContext.mSettings->Cluster(), aNow) == MemberStatus::Suspected;
}

void
CheckForwarded(RequestBook& aBook,
               const RequestContext& aContext,
               const RequestRow& aRow,
               Time aNow,
               RequestActions& aActions)
{
  if (IsPeerLost(aContext, aRow, aNow)) {
    FinishUnknown(aBook, aContext, aRow, "the node that held it is lost", aNow, aActions);
    return;
  }
  if (aRow.Arrived() + aContext.mSettings->Requests().RunLimit() < aNow) {
    FinishUnknown(
      aBook, aContext, aRow, "no answer was received within the run limit", aNow, aActions);
    return;
  }
  detail::PutRow(aBook, aRow.WithCheckAt(aNow + kPeerCheckInterval));
  const bool late = aRow.Phase() == RequestPhase::Forwarded && aRow.StartBy() + kCancelGrace < aNow;
  if (late) {
    detail::AddFrame(
      aContext,
      aRow.Peer(),
      ForwardedCancel::Create({ .mRequest = aRow.Request().Id(), .mAttempt = aRow.Attempt() })
        .value(),
      aActions);
  }
}

void
CheckDueRequest(RequestBook& aBook,
                const RequestContext& aContext,
                const RequestRow& aRow,
                Time aNow,
                RequestActions& aActions)
{
  switch (aRow.Phase()) {
    case RequestPhase::Claiming:
      FinishNotRun(aBook,
                   aContext,
                   aRow,
                   aContext.mLogFresh ? Reason::MaxWaitExceeded : Reason::LogUnavailable,
                   "the log did not accept its claim in time",
                   aNow,
                   aActions);
      return;
    case RequestPhase::Queued:
      CancelWork(*aContext.mScheduler, TaskId(aRow.Request().Id().Text()));
      FinishNotRun(aBook,
                   aContext,
                   aRow,
                   Reason::MaxWaitExceeded,
                   "it could not start in time",
                   aNow,
                   aActions);
      return;
    case RequestPhase::Running:
      FinishUnknown(aBook, aContext, aRow, "it exceeded the run limit", aNow, aActions);
      return;
    case RequestPhase::Forwarded:
    case RequestPhase::Querying:
      CheckForwarded(aBook, aContext, aRow, aNow, aActions);
      return;
  }
}

void
DropExpiredAnswers(RequestBook& aBook, const RequestContext& aContext, Time aNow)
{
  const auto retention = aContext.mSettings->Requests().AnswerRetention();
  while (!aBook.mKeptAnswersByAge.empty() &&
         aBook.mKeptAnswersByAge.begin()->first + retention < aNow) {
    detail::DropOldestAnswer(aBook);
  }
}

std::vector<RequestRow>
RowsInOrder(const RequestBook& aBook)
{
  std::vector<RequestRow> rows;
  rows.reserve(aBook.mRows.size());
  for (const auto& [id, row] : aBook.mRows) {
    rows.push_back(row);
  }
  std::sort(rows.begin(), rows.end());
  return rows;
}

} // namespace

void
CheckRequests(RequestBook& aBook,
              const RequestContext& aContext,
              Time aNow,
              RequestActions& aActions)
{
  while (!aBook.mNextChecks.empty() && aBook.mNextChecks.begin()->first < aNow) {
    const auto id = aBook.mNextChecks.begin()->second;
    CheckDueRequest(aBook, aContext, RequestRow(aBook.mRows.at(id)), aNow, aActions);
  }
  DropExpiredAnswers(aBook, aContext, aNow);
}

void
ForwardQueuedRequests(RequestBook& aBook,
                      const RequestContext& aContext,
                      Time aNow,
                      RequestActions& aActions)
{
  for (const auto& row : RowsInOrder(aBook)) {
    const bool queued = row.Phase() == RequestPhase::Queued;
    if (!queued || !CancelWork(*aContext.mScheduler, TaskId(row.Request().Id().Text()))) {
      continue;
    }
    if (row.Origin().IsEmpty()) {
      detail::Reroute(aBook, aContext, row, aNow, aActions);
    } else {
      FinishNotRun(aBook, aContext, row, Reason::NotReady, "the node is stopping", aNow, aActions);
    }
  }
}

void
AnswerAllRemaining(RequestBook& aBook,
                   const RequestContext& aContext,
                   Time aNow,
                   RequestActions& aActions)
{
  for (const auto& row : RowsInOrder(aBook)) {
    const bool waits = row.Phase() == RequestPhase::Queued || row.Phase() == RequestPhase::Claiming;
    if (waits) {
      FinishNotRun(aBook, aContext, row, Reason::NotReady, "the node has stopped", aNow, aActions);
    } else {
      FinishUnknown(aBook, aContext, row, "the node has stopped", aNow, aActions);
    }
  }
}

std::vector<HeldRequest>
HeldRequests(const RequestBook& aBook, Time aNow, std::size_t aMaxCount)
{
  std::vector<HeldRequest> held;
  for (const auto& row : RowsInOrder(aBook)) {
    if (held.size() == aMaxCount) {
      break;
    }
    const auto place = row.Vm().IsEmpty() ? row.Peer().Text() : row.Vm().Text();
    held.push_back(HeldRequest::Create({ .mRequest = row.Request().Id(),
                                         .mTeam = row.Request().Team(),
                                         .mPhase = std::string(ToString(row.Phase())),
                                         .mAttempt = row.Attempt(),
                                         .mAge = aNow - row.Arrived(),
                                         .mPlace = place })
                     .value());
  }
  return held;
}

} // namespace by
