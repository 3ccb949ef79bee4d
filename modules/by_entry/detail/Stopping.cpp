#include "by_entry/detail/Stopping.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Ownership.h"

namespace by::detail {

namespace {

/// The cell is handed over at the latest this long after a stop was asked for.
constexpr Time kHandoverBound = Time::FromMilliseconds(500);
/// Time that the last answers need to leave.
constexpr Time kLastAnswers = Time::FromMilliseconds(700);

void
HandCellOver(EntryState& aState, Time aNow, Effects& aOut)
{
  const bool isOwner = aState.mPhase == OwnerPhase::Owner;
  const bool mustWait = isOwner && HasUnstored(*aState.mCell) &&
                        aNow < aState.mStopAskedAt + kHandoverBound;
  if (aState.mLeft || mustWait) {
    return;
  }
  aState.mLeft = true;
  for (const auto& member : aState.mMembers) {
    auto leaving = OwnerLeaving::Create({ .mEpoch = aState.mEpoch }).value();
    Emit(aOut,
         SendToMember::Create(
           { .mNode = member,
             .mMessage = LinkMessage::Create({ .mBody = std::move(leaving) }).value() })
           .value());
  }
  if (aState.mPhase != OwnerPhase::Member) {
    StepDown(aState, "planned stop", aNow, aOut);
  }
  Emit(aOut,
       LeaveGroup::Create(
         { .mMember =
             absl::StrCat(aState.mSettings.Node(), "/", aState.mSettings.Incarnation()) })
         .value());
}

} // namespace

void
BeginStop(EntryState& aState, const StopAsked& aEvent, Time aNow, Effects& aOut)
{
  if (aState.mStopping) {
    return;
  }
  aState.mStopping = true;
  aState.mStopAskedAt = aNow;
  aState.mStopBy = aNow + std::max(kLastAnswers, aEvent.Grace() - kLastAnswers);
  Log(aOut,
      "node.stopping",
      aState.mSettings.Node(),
      absl::StrCat("grace_ms=", aEvent.Grace().Milliseconds(), " calls=", aState.mCalls.size()));
}

void
GoOnStopping(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!aState.mStopping || aState.mExited) {
    return;
  }
  HandCellOver(aState, aNow, aOut);
  const bool balancerKnows = aNow >= aState.mStopAskedAt + aState.mSettings.Drain();
  const bool isIdle = aState.mCalls.empty() && aState.mLeft;
  if ((balancerKnows && isIdle) || aNow >= aState.mStopBy) {
    aState.mExited = true;
    Log(aOut,
        "node.stopped",
        aState.mSettings.Node(),
        absl::StrCat("open_calls=", aState.mCalls.size()));
    Emit(aOut, ExitEntry::Create({ .mClean = aState.mCalls.empty() }).value());
  }
}

void
TellReady(EntryState& aState, Time aNow, Effects& aOut)
{
  const bool ready = aState.mConfig.has_value() && !aState.mStopping;
  if (aState.mReady == ready) {
    return;
  }
  aState.mReady = ready;
  Log(aOut,
      ready ? "node.ready" : "node.not_ready",
      aState.mSettings.Node(),
      absl::StrCat("stopping=", aState.mStopping, " at=", aNow.Milliseconds()));
  Emit(aOut, SetEntryReady::Create({ .mReady = ready }).value());
}

} // namespace by::detail
