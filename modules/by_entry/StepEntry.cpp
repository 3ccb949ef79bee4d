#include "by_entry/StepEntry.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Calls.h"
#include "by_entry/detail/Links.h"
#include "by_entry/detail/Ownership.h"
#include "by_entry/detail/Settings.h"
#include "by_entry/detail/Stopping.h"

namespace by {

namespace {

/// Between events, time is looked at this often by an owner and by any other node.
constexpr Time kOwnerTick = Time::FromMilliseconds(50);
constexpr Time kMemberTick = Time::FromMilliseconds(100);
/// A timer that is due sooner than this is not worth a wake-up of its own.
constexpr Time kShortestTick = Time::FromMilliseconds(2);

/// Takes one kind of event in.
struct Taker
{
  EntryState& mState;
  Time mNow;
  Effects& mOut;

  void operator()(const ClockTick&) const
  {
    detail::RetryClaim(mState, mNow, mOut);
    detail::KeepLink(mState, mNow, mOut);
    detail::CheckCalls(mState, mNow, mOut);
    if (mState.mCell) {
      CheckCell(*mState.mCell, mNow, mOut);
    }
  }
  void operator()(const JobCall& aEvent) const { detail::TakeCall(mState, aEvent, mNow, mOut); }
  void operator()(const ClusterConfig& aEvent) const
  {
    if (mState.mConfig && mState.mConfig->Version() >= aEvent.Version()) {
      return;
    }
    detail::Log(mOut,
                "config.in_force",
                absl::StrCat("version ", aEvent.Version()),
                absl::StrCat("queues=", aEvent.Queues().size(), " pools=", aEvent.Pools().size()));
    mState.mConfig = aEvent;
    if (mState.mCell) {
      ConfigureCell(*mState.mCell, aEvent);
    }
  }
  void operator()(const MaintenanceWave& aEvent) const
  {
    mState.mWaves.insert_or_assign(aEvent.Number(), aEvent);
    ToCell(HandleWave, aEvent);
  }
  void operator()(const MaintenanceAnswered& aEvent) const
  {
    ToCell(HandleMaintenanceAnswered, aEvent);
  }
  void operator()(const WavePublished& aEvent) const { ToCell(HandleWavePublished, aEvent); }
  void operator()(const GroupJoined& aEvent) const
  {
    detail::TakeJoined(mState, aEvent, mNow, mOut);
  }
  void operator()(const ClaimRead& aEvent) const
  {
    detail::TakeClaimRead(mState, aEvent, mNow, mOut);
  }
  void operator()(const ClaimWritten& aEvent) const
  {
    detail::TakeClaimWritten(mState, aEvent, mNow, mOut);
  }
  void operator()(const CellLoaded& aEvent) const
  {
    detail::TakeLoaded(mState, aEvent, mNow, mOut);
  }
  void operator()(const CellAppended& aEvent) const { ToCell(HandleAppended, aEvent); }
  void operator()(const WorkersChanged& aEvent) const { ToCell(HandleWorkersChanged, aEvent); }
  void operator()(const WorkerPolled& aEvent) const { ToCell(HandlePolled, aEvent); }
  void operator()(const StartAnswered& aEvent) const { ToCell(HandleStartAnswered, aEvent); }
  void operator()(const StopAnswered& aEvent) const { ToCell(HandleStopAnswered, aEvent); }
  void operator()(const AdviceAnswered& aEvent) const
  {
    if (mState.mCell) {
      HandleAdvice(*mState.mCell, aEvent, mNow, mOut);
    } else if (mState.mLinkUp) {
      detail::Emit(
        mOut,
        SendToOwner::Create({ .mMessage = LinkMessage::Create({ .mBody = aEvent }).value() })
          .value());
    }
  }
  void operator()(const LinkChanged& aEvent) const
  {
    detail::TakeLinkChanged(mState, aEvent, mNow, mOut);
  }
  void operator()(const FromOwner& aEvent) const
  {
    detail::TakeFromOwner(mState, aEvent, mNow, mOut);
  }
  void operator()(const FromMember& aEvent) const
  {
    detail::TakeFromMember(mState, aEvent, mNow, mOut);
  }
  void operator()(const MemberChanged& aEvent) const
  {
    detail::TakeMemberChanged(mState, aEvent, mNow, mOut);
  }
  void operator()(const SettingsRead& aEvent) const { detail::TakeSettings(mState, aEvent, mOut); }
  void operator()(const StopRequested& aEvent) const
  {
    detail::BeginStop(mState, aEvent, mNow, mOut);
  }

private:
  template<class Event>
  void ToCell(void (*aHandle)(CellState&, const Event&, Time, Effects&), const Event& aEvent) const
  {
    if (mState.mCell) {
      aHandle(*mState.mCell, aEvent, mNow, mOut);
    }
  }
};

/// Replies of the cell to callers of this node end their open calls.
void
CloseAnsweredCalls(EntryState& aState, const Effects& aOut)
{
  for (const auto& effect : aOut) {
    if (const auto* reply = std::get_if<ReplyToCaller>(&effect.Body())) {
      aState.mCalls.erase(reply->Reply().Call());
    }
  }
}

} // namespace

EntryState
MakeEntryState(const EntrySettings& aSettings)
{
  EntryState state;
  state.mSettings = aSettings;
  return state;
}

Effects
StepEntry(EntryState& aState, const EntryEvent& aEvent, Time aNow)
{
  Effects out;
  if (aState.mExited) {
    // Connections stay open until the last answers have left; what comes on them is answered too.
    if (const auto* call = std::get_if<JobCall>(&aEvent.Body())) {
      detail::TakeCall(aState, *call, aNow, out);
    }
    return out;
  }
  std::visit(Taker{ aState, aNow, out }, aEvent.Body());
  detail::KeepJoined(aState, aNow, out);
  detail::ConsiderClaim(aState, aNow, out);
  if (aState.mCell) {
    AdvanceCell(*aState.mCell, aNow, out);
    if (aState.mCell->mFenced) {
      detail::StepDown(aState, "a newer owner was seen", aNow, out);
    }
  }
  detail::TellStoreLost(aState, aNow, out);
  detail::GoOnStopping(aState, aNow, out);
  detail::TellReady(aState, aNow, out);
  CloseAnsweredCalls(aState, out);
  return out;
}

Time
NextTick(const EntryState& aState, Time aNow)
{
  auto next = aNow + kMemberTick;
  if (!aState.mJoinOpen && aState.mConfig && !aState.mStopping) {
    next = std::min(next, aState.mNextJoin);
  }
  if (aState.mCell) {
    next = std::min({ next, aNow + kOwnerTick, NextWorkTime(*aState.mCell) });
  }
  return std::max(next, aNow + kShortestTick);
}

} // namespace by
