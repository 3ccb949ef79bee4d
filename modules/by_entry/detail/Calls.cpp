#include "by_entry/detail/Calls.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleRequests.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/TeamRates.h"
#include "by_entry/detail/Authentication.h"
#include "by_entry/detail/Links.h"
#include "by_entry/detail/Load.h"
#include "by_entry/detail/Routing.h"
#include "by_entry/detail/TeamAdmission.h"
#include "by_jobs/CriticalPaths.h"
#include "by_queueing/OwnerWait.h"
#include "by_queueing/RetryDelay.h"

namespace by::detail {

namespace {

/// Minimum time between two reports of dropped requests.
constexpr Time kDropReportInterval = Time::FromMilliseconds(1000);
/// An answer that comes later than this is logged; a takeover takes longer, and most answers far
/// less.
constexpr Time kSlowAnswer = Time::FromMilliseconds(500);

void
Answer(std::uint64_t aCall, JobReply::Fields aReply, Effects& aOut)
{
  aReply.mCall = aCall;
  Emit(aOut,
       ReplyToCaller::Create({ .mReply = JobReply::Create(std::move(aReply)).value() }).value());
}

void
Refuse(const EntryState& aState, std::uint64_t aCall, Time aNow, Effects& aOut)
{
  Answer(aCall,
         { .mOutcome = JobCallOutcome::Refused, .mRetryAfter = RetryDelay(aState, aCall, aNow) },
         aOut);
}

/// Refuses a request of a member.
void
RefuseMember(const EntryState& aState, const PendingCaller& aCaller, Time aNow, Effects& aOut)
{
  auto reply = JobReply::Create({ .mCall = aCaller.mCall,
                                  .mOutcome = JobCallOutcome::Refused,
                                  .mRetryAfter = RetryDelay(aState, aCaller.mCall, aNow) })
                 .value();
  Emit(
    aOut,
    SendToMember::Create({ .mNode = aCaller.mNode,
                           .mMessage = LinkMessage::Create({ .mBody = std::move(reply) }).value(),
                           .mLink = aCaller.mLink })
      .value());
}

/// Ends a call without the owner's answer. A forwarded submission or cancellation may have been
/// carried out, so its outcome is uncertain. A query has no effect and can be refused.
void
ExpireCall(const EntryState& aState,
           std::uint64_t aNumber,
           const OpenCall& aCall,
           const char* aReason,
           Time aNow,
           Effects& aOut)
{
  const bool mayHaveRun =
    aCall.mPossibleRuns > 0 &&
    (aCall.mRequest.Kind() == JobCallKind::Submit || aCall.mRequest.Kind() == JobCallKind::Cancel);
  Log(aOut,
      "call.given_up",
      aCall.mRequest.Job(),
      absl::StrCat("kind=",
                   std::string(ToString(aCall.mRequest.Kind())),
                   " reason=",
                   aReason,
                   " handed_to_epoch=",
                   aCall.mForwardedTo.value_or(0),
                   " outcome=",
                   mayHaveRun ? "uncertain" : "not run"));
  if (mayHaveRun) {
    Answer(aNumber, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
  } else if (aCall.mRequest.Definition() && aState.mStoreLostAt != Time::Never()) {
    const auto slack = SlackTime(*aCall.mRequest.Definition(), aCall.mRequest.Queue());
    Answer(aNumber,
           { .mOutcome = JobCallOutcome::Refused,
             .mRetryAfter = RetryDelayInOutage(aNow - aState.mStoreLostAt, slack) },
           aOut);
  } else {
    Refuse(aState, aNumber, aNow, aOut);
  }
}

bool
CanForward(const EntryState& aState)
{
  return aState.mPhase == OwnerPhase::Owner || (aState.mLinkUp && aState.mOwnerActive);
}

/// @returns how long a call waits for an owner that it can be forwarded to.
Time
OwnerWait(const EntryState& aState, Time aNow)
{
  const auto age = aState.mStoreLostAt == Time::Never() ? Time() : aNow - aState.mStoreLostAt;
  return OwnerWaitInOutage(age, aState.mSettings.OwnerWait());
}

/// @returns when the node stops waiting for the owner's answer to a call.
Time
AnswerDeadline(const EntryState& aState, const OpenCall& aCall)
{
  return std::min(aCall.mArrived + aState.mSettings.AnswerWait(), aCall.mDeadline);
}

void
ForwardCall(EntryState& aState, std::uint64_t aNumber, OpenCall& aCall, Time aNow, Effects& aOut)
{
  const auto deadline = AnswerDeadline(aState, aCall);
  if (aNow >= deadline) {
    return;
  }
  if (const char* reason = RefusalReason(aState, aCall, aNow)) {
    Log(aOut, "call.refused", aCall.mRequest.Job(), absl::StrCat("reason=", reason));
    Refuse(aState, aNumber, aNow, aOut);
    return;
  }
  if (const auto delay = ThrottleSubmission(aState, aCall, aNow, aOut)) {
    Answer(aNumber, { .mOutcome = JobCallOutcome::Throttled, .mRetryAfter = *delay }, aOut);
    return;
  }
  ++aCall.mPossibleRuns;
  if (aState.mPhase == OwnerPhase::Owner) {
    aCall.mForwardedTo = aState.mEpoch;
    HandleRequest(*aState.mCell, { aState.mSettings.Node(), aNumber }, aCall.mRequest, aNow, aOut);
    return;
  }
  aCall.mForwardedTo = aState.mOwner->Epoch();
  auto request = aCall.mRequest.WithTimeout(deadline - aNow);
  EmitToOwner(aState, LinkMessage::Create({ .mBody = std::move(request) }).value(), aOut);
}

} // namespace

void
HandleCall(EntryState& aState, const JobCall& aCall, Time aNow, Effects& aOut)
{
  if (!aState.mConfig || aState.mExited) {
    Log(aOut,
        "call.refused",
        aCall.Path(),
        absl::StrCat("reason=", aState.mExited ? "stopped" : "no configuration"));
    Refuse(aState, aCall.Call(), aNow, aOut);
    return;
  }
  const auto* queue = FindQueue(*aState.mConfig, aCall.Host(), aCall.Path());
  const auto jobName =
    queue == nullptr ? std::string() : aCall.Path().substr(queue->PathPrefix().size());
  const bool isCountQuery = aCall.Kind() == JobCallKind::Show && jobName.empty();
  if (queue == nullptr || (!isCountQuery && !IsJobName(jobName))) {
    Log(aOut,
        "call.unrouted",
        aCall.Path(),
        absl::StrCat("host=", aCall.Host(), " config=", aState.mConfig->Version()));
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::UnknownQueue }, aOut);
    return;
  }
  const auto caller = Authenticate(aState, *queue, aCall.Key(), aNow);
  if (caller.mCheck != KeyCheck::Passed) {
    CountRefusal(aState, caller.mCheck, aCall.Path());
    if (caller.mCheck == KeyCheck::Unknown) {
      Answer(aCall.Call(), { .mOutcome = JobCallOutcome::Unauthorized }, aOut);
    } else {
      Refuse(aState, aCall.Call(), aNow, aOut);
    }
    return;
  }
  const bool isSubmit = aCall.Kind() == JobCallKind::Submit;
  if (isSubmit && aState.mConfig->BodyLimit() > 0 &&
      aCall.BodySize() > aState.mConfig->BodyLimit()) {
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::TooLarge }, aOut);
    return;
  }
  if (isSubmit && !aCall.Definition()) {
    Log(aOut, "job.malformed", jobName, aCall.Error());
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::Malformed }, aOut);
    return;
  }
  OpenCall open;
  open.mArrived = aNow;
  open.mDeadline = aCall.Timeout() > Time() ? aNow + aCall.Timeout() : Time::Never();
  open.mRequest = CellRequest::Create({ .mCall = aCall.Call(),
                                        .mKind = isCountQuery ? JobCallKind::Count : aCall.Kind(),
                                        .mQueue = *queue,
                                        .mJob = jobName,
                                        .mDefinition = aCall.Definition(),
                                        .mTeam = caller.mTeam })
                    .value();
  auto& pending = aState.mCalls[aCall.Call()] = std::move(open);
  if (CanForward(aState)) {
    ForwardCall(aState, aCall.Call(), pending, aNow, aOut);
  }
}

void
CloseCall(EntryState& aState, const JobReply& aReply, Time aNow, Effects& aOut)
{
  const auto it = aState.mCalls.find(aReply.Call());
  if (it == aState.mCalls.end()) {
    return;
  }
  const auto& call = it->second;
  const auto waited = aNow - call.mArrived;
  const auto unlogged =
    waited < kSlowAnswer ? std::nullopt : CountForLog(aState.mLoad.mSlowAnswers, aNow);
  if (unlogged) {
    Log(aOut,
        "call.slow",
        call.mRequest.Job(),
        absl::StrCat("kind=",
                     std::string(ToString(call.mRequest.Kind())),
                     " waited_ms=",
                     waited.Milliseconds(),
                     " outcome=",
                     std::string(ToString(aReply.Outcome())),
                     " handed_to_epoch=",
                     call.mForwardedTo.value_or(0),
                     " unlogged=",
                     *unlogged));
  }
  aState.mCalls.erase(it);
}

void
HandleReply(EntryState& aState, const JobReply& aReply, Time aNow, Effects& aOut)
{
  const auto it = aState.mCalls.find(aReply.Call());
  if (it == aState.mCalls.end()) {
    return;
  }
  if (aReply.Outcome() == JobCallOutcome::Refused && !aState.mOwnerActive) {
    // The node has said before that it is not the owner, so it has not carried out the request. An
    // earlier owner may have.
    auto& call = it->second;
    call.mForwardedTo.reset();
    call.mPossibleRuns -= std::min(call.mPossibleRuns, std::uint32_t{ 1 });
    return;
  }
  CloseCall(aState, aReply, aNow, aOut);
  Emit(aOut, ReplyToCaller::Create({ .mReply = aReply }).value());
}

void
ForwardCalls(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!CanForward(aState)) {
    return;
  }
  for (auto& [number, call] : aState.mCalls) {
    if (!call.mForwardedTo) {
      ForwardCall(aState, number, call, aNow, aOut);
    }
  }
}

void
HandleMemberRequest(EntryState& aState,
                    const FromMember& aMessage,
                    const CellRequest& aRequest,
                    Time aNow,
                    Effects& aOut)
{
  const auto received = aMessage.Received();
  if (aRequest.Timeout() > Time() && received > Time() && aNow >= received + aRequest.Timeout()) {
    ++aState.mLoad.mDroppedRequests;
    return;
  }
  const PendingCaller caller{ .mNode = aMessage.Node(),
                              .mCall = aRequest.Call(),
                              .mLink = aMessage.Link() };
  if (aState.mPhase != OwnerPhase::Owner) {
    Log(aOut, "call.misdirected", aRequest.Job(), absl::StrCat("from=", caller.mNode));
    SendMemberHeartbeat(aState, caller.mNode, aNow, aOut);
    RefuseMember(aState, caller, aNow, aOut);
    return;
  }
  if (IsRefusedAsOverloaded(aState, aRequest)) {
    Log(aOut, "job.refused", aRequest.Job(), "reason=owner overloaded");
    RefuseMember(aState, caller, aNow, aOut);
    return;
  }
  HandleRequest(*aState.mCell, caller, aRequest, aNow, aOut);
}

void
ReportDroppedRequests(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mLoad.mDroppedRequests == 0 || aNow < aState.mLoad.mNextDropReport) {
    return;
  }
  aState.mLoad.mNextDropReport = aNow + kDropReportInterval;
  Log(
    aOut,
    "call.dropped",
    aState.mSettings.Node(),
    absl::StrCat(
      "count=", std::exchange(aState.mLoad.mDroppedRequests, 0), " reason=callers no longer wait"));
}

void
RequeueForwardedCalls(EntryState& aState)
{
  for (auto& [number, call] : aState.mCalls) {
    call.mForwardedTo.reset();
  }
}

void
ExpireCalls(EntryState& aState, Time aNow, Effects& aOut)
{
  std::erase_if(aState.mCalls, [&](const auto& aEntry) {
    const auto& call = aEntry.second;
    const bool wasForwarded = call.mForwardedTo || call.mPossibleRuns > 0;
    const auto wait = wasForwarded ? aState.mSettings.AnswerWait() : OwnerWait(aState, aNow);
    if (aNow < call.mArrived + wait && aNow < call.mDeadline) {
      return false;
    }
    ExpireCall(aState,
               aEntry.first,
               call,
               call.mForwardedTo ? "no answer from the owner" : "no owner",
               aNow,
               aOut);
    return true;
  });
}

void
GiveUpCalls(EntryState& aState, Time aNow, Effects& aOut)
{
  for (const auto& [number, call] : aState.mCalls) {
    ExpireCall(aState, number, call, "planned stop", aNow, aOut);
  }
  aState.mCalls.clear();
}

} // namespace by::detail
