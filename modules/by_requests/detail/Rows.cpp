#include "by_requests/detail/Rows.h"

#include <utility>

#include "by_requests/RequestBook.h"
#include "by_requests/RequestContext.h"
#include "by_requests/detail/Frames.h"
#include "by_schema/AnswerCaller.h"
#include "by_schema/ForwardedAnswer.h"
#include "by_schema/NodeSettings.h"
#include "by_schema/Request.h"

namespace by::detail {

namespace {

constexpr std::size_t kMaxKeptAnswers = 20'000;
constexpr std::int64_t kMaxKeptBytes = 16L * 1024 * 1024;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
AddText(std::uint64_t aHash, const std::string& aText)
{
  for (const unsigned char byte : aText) {
    aHash = (aHash ^ byte) * kFnvPrime;
  }
  return (aHash ^ aText.size()) * kFnvPrime;
}

void
ReleaseClaim(RequestBook& aBook, const RequestRow& aRow, RequestActions& aActions)
{
  const auto& request = aRow.Request();
  if (aRow.Claimed()) {
    aActions.mClaims.push_back(RequestClaim::Create({ .mTeam = request.Team(),
                                                      .mLabel = request.Label(),
                                                      .mRequest = request.Id(),
                                                      .mRelease = true })
                                 .value());
  } else if (aRow.Phase() == RequestPhase::Claiming) {
    aBook.mClaimsToRelease[KeyOf(request)] = request.Id();
  }
}

} // namespace

std::uint64_t
DigestOf(const Request& aRequest)
{
  return AddText(AddText(kFnvOffset, aRequest.Kind()), aRequest.Payload());
}

ClaimKey
KeyOf(const Request& aRequest)
{
  return ClaimKey::Create({ .mTeam = aRequest.Team(), .mLabel = aRequest.Label() }).value();
}

const RequestRow*
FindRow(const RequestBook& aBook, const RequestId& aRequest)
{
  const auto it = aBook.mRows.find(aRequest);
  return it == aBook.mRows.end() ? nullptr : &it->second;
}

void
PutRow(RequestBook& aBook, const RequestRow& aRow)
{
  const auto id = aRow.Request().Id();
  const auto it = aBook.mRows.find(id);
  if (it != aBook.mRows.end()) {
    aBook.mNextChecks.erase({ it->second.CheckAt(), id });
  }
  aBook.mNextChecks.insert({ aRow.CheckAt(), id });
  aBook.mRows.insert_or_assign(id, aRow);
}

void
RemoveRow(RequestBook& aBook, const RequestRow& aRow)
{
  const auto id = aRow.Request().Id();
  aBook.mNextChecks.erase({ aRow.CheckAt(), id });
  aBook.mClaiming.erase(id);
  const auto label = aBook.mByLabel.find(KeyOf(aRow.Request()));
  if (label != aBook.mByLabel.end() && label->second == id) {
    aBook.mByLabel.erase(label);
  }
  aBook.mRows.erase(id);
}

Answer
AnswerWithoutResult(const RequestRow& aRow, Outcome aOutcome, Reason aReason, std::string aDetail)
{
  return Answer::Create({ .mRequest = aRow.Request().Id(),
                          .mAttempt = aRow.Attempt(),
                          .mOutcome = aOutcome,
                          .mReason = aReason,
                          .mDetail = std::move(aDetail),
                          .mVm = aRow.Vm() })
    .value();
}

void
AnswerWaiter(const RequestContext& aContext,
             const RequestWaiter& aWaiter,
             const Answer& aAnswer,
             RequestActions& aActions)
{
  const auto answer = aAnswer.WithRequest(aWaiter.Request());
  if (aWaiter.Node().IsEmpty()) {
    AddEffect(AnswerCaller::Create({ .mAnswer = answer }).value(), aActions);
    return;
  }
  AddFrame(aContext,
           aWaiter.Node(),
           ForwardedAnswer::Create({ .mRequest = aWaiter.Request(), .mAnswer = answer }).value(),
           aActions);
}

void
DropOldestAnswer(RequestBook& aBook)
{
  const auto oldest = aBook.mKeptAnswersByAge.begin();
  const auto it = aBook.mKeptAnswers.find(oldest->second);
  aBook.mKeptBytes -= static_cast<std::int64_t>(it->second.Answer().Payload().size());
  aBook.mKeptAnswers.erase(it);
  aBook.mKeptAnswersByAge.erase(oldest);
}

void
KeepAnswer(RequestBook& aBook, const RequestRow& aRow, const Answer& aAnswer, Time aNow)
{
  const auto& request = aRow.Request();
  if (request.Idempotent() && aRow.Origin().IsEmpty()) {
    return;
  }
  const auto kept =
    KeptAnswer::Create(
      { .mAnswer = aAnswer, .mTeam = request.Team(), .mLabel = request.Label(), .mAt = aNow })
      .value();
  if (!aBook.mKeptAnswers.insert({ request.Id(), kept }).second) {
    return;
  }
  aBook.mKeptAnswersByAge.insert({ aNow, request.Id() });
  aBook.mKeptBytes += static_cast<std::int64_t>(aAnswer.Payload().size());
  while (aBook.mKeptAnswers.size() > kMaxKeptAnswers || aBook.mKeptBytes > kMaxKeptBytes) {
    DropOldestAnswer(aBook);
  }
}

void
Finish(RequestBook& aBook,
       const RequestContext& aContext,
       const RequestRow& aRow,
       const Answer& aAnswer,
       Time aNow,
       RequestActions& aActions)
{
  // aRow may refer to an element of the table that is modified below.
  const auto row = aRow; // NOLINT(performance-unnecessary-copy-initialization)
  const auto& request = row.Request();
  if (!row.Origin().IsEmpty()) {
    const auto answer = aAnswer.WithAttempt(row.OriginAttempt());
    AddFrame(aContext,
             row.Origin(),
             ForwardedAnswer::Create({ .mRequest = request.Id(), .mAnswer = answer }).value(),
             aActions);
  } else {
    AddEffect(AnswerCaller::Create({ .mAnswer = aAnswer }).value(), aActions);
  }
  for (const auto& waiter : row.Waiters()) {
    AnswerWaiter(aContext, waiter, aAnswer, aActions);
  }
  if (aAnswer.Outcome() == Outcome::NotRun && row.Origin().IsEmpty() && !request.Idempotent()) {
    ReleaseClaim(aBook, row, aActions);
  }
  if (row.Phase() != RequestPhase::Querying) {
    KeepAnswer(aBook, row, aAnswer, aNow);
  }
  RemoveRow(aBook, row);
}

} // namespace by::detail
