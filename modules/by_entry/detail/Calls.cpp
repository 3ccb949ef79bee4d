#include "by_entry/detail/Calls.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleRequests.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Routing.h"

namespace by::detail {

namespace {

void
Answer(std::uint64_t aCall, JobReply::Fields aReply, Effects& aOut)
{
  aReply.mCall = aCall;
  Emit(aOut,
       ReplyToCaller::Create({ .mReply = JobReply::Create(std::move(aReply)).value() }).value());
}

void
Refuse(const EntryState& aState, std::uint64_t aCall, Effects& aOut)
{
  Answer(aCall,
         { .mOutcome = JobCallOutcome::Refused, .mRetryAfter = aState.mSettings.RetryAfter() },
         aOut);
}

/// A submission or a cancelling that was handed over may have been carried out; a question has no
/// effect, so refusing it is true.
void
GiveUp(const EntryState& aState,
       std::uint64_t aNumber,
       const OpenCall& aCall,
       const char* aReason,
       Effects& aOut)
{
  const bool mayHaveRun = aCall.mWasHanded && (aCall.mRequest.Kind() == JobCallKind::Submit ||
                                               aCall.mRequest.Kind() == JobCallKind::Cancel);
  Log(aOut,
      "call.given_up",
      aCall.mRequest.Job(),
      absl::StrCat("kind=",
                   std::string(ToString(aCall.mRequest.Kind())),
                   " reason=",
                   aReason,
                   " handed_to_epoch=",
                   aCall.mHandedTo.value_or(0),
                   " outcome=",
                   mayHaveRun ? "uncertain" : "not run"));
  if (mayHaveRun) {
    Answer(aNumber, { .mOutcome = JobCallOutcome::Uncertain }, aOut);
  } else {
    Refuse(aState, aNumber, aOut);
  }
}

bool
CanHandOver(const EntryState& aState)
{
  return aState.mPhase == OwnerPhase::Owner || (aState.mLinkUp && aState.mOwnerActs);
}

void
HandOne(EntryState& aState, std::uint64_t aNumber, OpenCall& aCall, Time aNow, Effects& aOut)
{
  aCall.mWasHanded = true;
  if (aState.mPhase == OwnerPhase::Owner) {
    aCall.mHandedTo = aState.mEpoch;
    HandleRequest(*aState.mCell, { aState.mSettings.Node(), aNumber }, aCall.mRequest, aNow, aOut);
    return;
  }
  aCall.mHandedTo = aState.mOwner->Epoch();
  Emit(aOut,
       SendToOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = aCall.mRequest }).value() })
         .value());
}

} // namespace

void
TakeCall(EntryState& aState, const JobCall& aCall, Time aNow, Effects& aOut)
{
  if (!aState.mConfig || aState.mExited) {
    Log(aOut,
        "call.refused",
        aCall.Path(),
        absl::StrCat("reason=", aState.mExited ? "stopped" : "no configuration"));
    Refuse(aState, aCall.Call(), aOut);
    return;
  }
  const auto* queue = FindQueue(*aState.mConfig, aCall.Host(), aCall.Path());
  const auto rest =
    queue == nullptr ? std::string() : aCall.Path().substr(queue->PathPrefix().size());
  const bool isCount = aCall.Kind() == JobCallKind::Show && rest.empty();
  if (queue == nullptr || (!isCount && !IsJobName(rest))) {
    Log(aOut,
        "call.unrouted",
        aCall.Path(),
        absl::StrCat("host=", aCall.Host(), " config=", aState.mConfig->Version()));
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::UnknownQueue }, aOut);
    return;
  }
  const bool isSubmit = aCall.Kind() == JobCallKind::Submit;
  if (isSubmit && aState.mConfig->BodyLimit() > 0 &&
      aCall.BodySize() > aState.mConfig->BodyLimit()) {
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::TooLarge }, aOut);
    return;
  }
  if (isSubmit && !aCall.Definition()) {
    Log(aOut, "job.malformed", rest, aCall.Error());
    Answer(aCall.Call(), { .mOutcome = JobCallOutcome::Malformed }, aOut);
    return;
  }
  OpenCall open;
  open.mArrived = aNow;
  open.mDeadline = aCall.Timeout() > Time() ? aNow + aCall.Timeout() : Time::Never();
  open.mRequest = CellRequest::Create({ .mCall = aCall.Call(),
                                        .mKind = isCount ? JobCallKind::Count : aCall.Kind(),
                                        .mQueue = *queue,
                                        .mJob = rest,
                                        .mDefinition = aCall.Definition() })
                    .value();
  auto& kept = aState.mCalls[aCall.Call()] = std::move(open);
  if (CanHandOver(aState)) {
    HandOne(aState, aCall.Call(), kept, aNow, aOut);
  }
}

void
TakeReply(EntryState& aState, const JobReply& aReply, Effects& aOut)
{
  if (aState.mCalls.erase(aReply.Call()) > 0) {
    Emit(aOut, ReplyToCaller::Create({ .mReply = aReply }).value());
  }
}

void
HandOver(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!CanHandOver(aState)) {
    return;
  }
  for (auto& [number, call] : aState.mCalls) {
    if (!call.mHandedTo) {
      HandOne(aState, number, call, aNow, aOut);
    }
  }
}

void
TakeBackHanded(EntryState& aState)
{
  for (auto& [number, call] : aState.mCalls) {
    call.mHandedTo.reset();
  }
}

void
CheckCalls(EntryState& aState, Time aNow, Effects& aOut)
{
  std::erase_if(aState.mCalls, [&](const auto& aEntry) {
    const auto& call = aEntry.second;
    const auto wait = call.mHandedTo ? aState.mSettings.AnswerWait() : aState.mSettings.OwnerWait();
    if (aNow < call.mArrived + wait && aNow < call.mDeadline) {
      return false;
    }
    GiveUp(
      aState, aEntry.first, call, call.mHandedTo ? "no answer of the owner" : "no owner", aOut);
    return true;
  });
}

} // namespace by::detail
