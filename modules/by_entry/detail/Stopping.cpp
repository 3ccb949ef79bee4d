#include "by_entry/detail/Stopping.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Calls.h"
#include "by_entry/detail/Handover.h"
#include "by_entry/detail/Ownership.h"

namespace by::detail {

namespace {

/// A stopping owner stays active until another node claims the cell, for at most this long while
/// the store answers. Without the store no node can claim the cell.
constexpr Time kHandoffTimeout = Time::FromMilliseconds(2000);
/// Time reserved for sending the last answers before the process exits.
constexpr Time kAnswerFlushTime = Time::FromMilliseconds(700);

void
LeaveCellAndGroup(const EntryState& aState, Effects& aOut)
{
  AnnounceLeaving(aState, {}, aOut);
  Emit(aOut,
       LeaveGroup::Create(
         { .mMember = absl::StrCat(aState.mSettings.Node(), "/", aState.mSettings.Incarnation()) })
         .value());
}

} // namespace

void
BeginStop(EntryState& aState, const StopRequested& aEvent, Time aNow, Effects& aOut)
{
  if (aState.mStopping) {
    return;
  }
  aState.mStopping = true;
  aState.mStopRequestedAt = aNow;
  aState.mStopDeadline = aNow + std::max(kAnswerFlushTime, aEvent.Grace() - kAnswerFlushTime);
  Log(aOut,
      "node.stopping",
      aState.mSettings.Node(),
      absl::StrCat("grace_ms=", aEvent.Grace().Milliseconds(), " calls=", aState.mCalls.size()));
  if (aState.mPhase == OwnerPhase::ReadingClaim) {
    // Nothing has been written yet, so another node can claim the cell at once.
    aState.mPhase = OwnerPhase::Member;
    aState.mRetryAt = Time::Never();
  }
  LeaveCellAndGroup(aState, aOut);
}

void
ContinueStop(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!aState.mStopping || aState.mExited) {
    return;
  }
  const bool canBeClaimed = !aState.mCell || aState.mCell->mStoreLostAt == Time::Never();
  if (aState.mPhase != OwnerPhase::Member && canBeClaimed &&
      aNow >= aState.mStopRequestedAt + kHandoffTimeout) {
    StepDown(aState, "planned stop", aNow, aOut);
  }
  const bool isDrained = aNow >= aState.mStopRequestedAt + aState.mSettings.DrainTime();
  const bool isIdle = aState.mCalls.empty() && aState.mPhase == OwnerPhase::Member;
  if ((isDrained && isIdle) || aNow >= aState.mStopDeadline) {
    aState.mExited = true;
    Log(aOut,
        "node.stopped",
        aState.mSettings.Node(),
        absl::StrCat("open_calls=", aState.mCalls.size()));
    const bool isClean = aState.mCalls.empty();
    GiveUpCalls(aState, aNow, aOut);
    Emit(aOut, ExitEntry::Create({ .mClean = isClean }).value());
  }
}

void
PublishReadiness(EntryState& aState, Time aNow, Effects& aOut)
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
