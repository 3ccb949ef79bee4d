#include "by_entry/StepEntry.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

#include "absl/strings/str_cat.h"

#include "by_cell/by_cell.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Authentication.h"
#include "by_entry/detail/Calls.h"
#include "by_entry/detail/ConfigExchange.h"
#include "by_entry/detail/ErrorRecovery.h"
#include "by_entry/detail/GroupMembership.h"
#include "by_entry/detail/Handover.h"
#include "by_entry/detail/Links.h"
#include "by_entry/detail/Load.h"
#include "by_entry/detail/Ownership.h"
#include "by_entry/detail/RelayMember.h"
#include "by_entry/detail/Relays.h"
#include "by_entry/detail/Settings.h"
#include "by_entry/detail/Stopping.h"

namespace by {

namespace {

/// The longest time between two ticks, for an owner and for any other node.
constexpr Time kOwnerTickInterval = Time::FromMilliseconds(50);
constexpr Time kMemberTickInterval = Time::FromMilliseconds(100);
/// The shortest time between two ticks, which limits wake-ups for timers.
constexpr Time kMinTickInterval = Time::FromMilliseconds(2);

/// Dispatches an event to the function that handles its type.
struct EventHandler
{
  EntryState& mState;
  Time mNow;
  Effects& mOut;

  void operator()(const ClockTick& aEvent) const
  {
    detail::UpdateLoad(mState, aEvent.QueueDelay(), mNow, mOut);
    detail::RetryClaim(mState, mNow, mOut);
    detail::MaintainLink(mState, mNow, mOut);
    detail::ExchangeConfig(mState, mNow, mOut);
    detail::ExpireCalls(mState, mNow, mOut);
    detail::ReportDroppedRequests(mState, mNow, mOut);
    detail::ReportKeyRefusals(mState, mNow, mOut);
    detail::ExpireRelayedOrders(mState, mNow, mOut);
    if (mState.mCell) {
      CheckCell(*mState.mCell, mNow, mOut);
    }
    detail::ContinueHandover(mState, mNow, mOut);
    detail::ExpireHandover(mState, mNow, mOut);
  }
  void operator()(const JobCall& aEvent) const { detail::HandleCall(mState, aEvent, mNow, mOut); }
  void operator()(const ClusterConfig& aEvent) const
  {
    detail::TakeConfig(mState, aEvent, mNow, mOut);
  }
  void operator()(const MaintenanceWave& aEvent) const
  {
    mState.mWaves.insert_or_assign(aEvent.Number(), aEvent);
    ForwardToCell(HandleWave, aEvent);
  }
  void operator()(const MaintenanceAnswered& aEvent) const
  {
    if (IsOfThisEpoch(aEvent.Epoch(), aEvent.Machine())) {
      ForwardToCell(HandleMaintenanceAnswered, aEvent);
    }
  }
  void operator()(const WavePublished& aEvent) const { ForwardToCell(HandleWavePublished, aEvent); }
  void operator()(const GroupJoined& aEvent) const
  {
    detail::HandleGroupJoined(mState, aEvent, mNow, mOut);
  }
  void operator()(const ClaimRead& aEvent) const
  {
    detail::HandleClaimRead(mState, aEvent, mNow, mOut);
  }
  void operator()(const ClaimWritten& aEvent) const
  {
    detail::HandleClaimWritten(mState, aEvent, mNow, mOut);
  }
  void operator()(const CellLoaded& aEvent) const
  {
    detail::HandleCellLoaded(mState, aEvent, mNow, mOut);
  }
  void operator()(const CellAppended& aEvent) const { ForwardToCell(HandleAppended, aEvent); }
  void operator()(const WorkersChanged& aEvent) const
  {
    ForwardToCell(HandleWorkersChanged, aEvent);
  }
  void operator()(const WorkerPolled& aEvent) const { HandleAnswer(HandlePolled, aEvent); }
  void operator()(const StartAnswered& aEvent) const { HandleAnswer(HandleStartAnswered, aEvent); }
  void operator()(const StopAnswered& aEvent) const { HandleAnswer(HandleStopAnswered, aEvent); }
  void operator()(const AdviceAnswered& aEvent) const
  {
    if (mState.mCell) {
      HandleAdvice(*mState.mCell, aEvent, mNow, mOut);
    } else if (mState.mLinkUp) {
      detail::EmitToOwner(mState, LinkMessage::Create({ .mBody = aEvent }).value(), mOut);
    }
  }
  void operator()(const LinkChanged& aEvent) const
  {
    detail::HandleLinkChanged(mState, aEvent, mNow, mOut);
  }
  void operator()(const FromOwner& aEvent) const
  {
    detail::HandleOwnerMessage(mState, aEvent, mNow, mOut);
  }
  void operator()(const FromMember& aEvent) const
  {
    detail::HandleMemberMessage(mState, aEvent, mNow, mOut);
  }
  void operator()(const MemberChanged& aEvent) const
  {
    detail::HandleMemberChanged(mState, aEvent, mNow, mOut);
  }
  void operator()(const SettingsRead& aEvent) const { detail::ApplySettings(mState, aEvent, mOut); }
  void operator()(const StopRequested& aEvent) const
  {
    detail::BeginStop(mState, aEvent, mNow, mOut);
  }

private:
  /// @returns whether an answer belongs to an order that this node sent in its present epoch, and
  /// logs one that does not. A node that loses the cell and claims it again may still get answers
  /// of its earlier epoch; that an order was refused as one of an earlier owner says nothing of the
  /// present one.
  bool IsOfThisEpoch(std::uint64_t aEpoch, const std::string& aReceiver) const
  {
    if (aEpoch == mState.mEpoch) {
      return true;
    }
    detail::Log(mOut,
                "answer.outdated",
                aReceiver,
                absl::StrCat("order_epoch=", aEpoch, " epoch=", mState.mEpoch));
    return false;
  }
  /// Handles the answer to an order of this node, or returns it to the owner that it was relayed
  /// for.
  template<class Event>
  void HandleAnswer(void (*aHandler)(CellState&, const Event&, Time, Effects&),
                    const Event& aEvent) const
  {
    if (IsRelayedOrder(aEvent.Number())) {
      detail::KeepRelayedAnswer(mState, WorkerAnswer::Create({ .mBody = aEvent }).value(), mNow);
    } else if (IsOfThisEpoch(aEvent.Number() >> kOrderEpochShift, aEvent.Worker())) {
      ForwardToCell(aHandler, aEvent);
    }
  }
  template<class Event>
  void ForwardToCell(void (*aHandler)(CellState&, const Event&, Time, Effects&),
                     const Event& aEvent) const
  {
    if (mState.mCell) {
      aHandler(*mState.mCell, aEvent, mNow, mOut);
    }
  }
};

/// Removes the calls of this node that the cell has answered.
/// @param aFrom the number of effects that were examined before.
void
RemoveAnsweredCalls(EntryState& aState, Time aNow, Effects& aOut, std::size_t aFrom = 0)
{
  Effects lines;
  for (std::size_t k = aFrom; k < aOut.size(); ++k) {
    if (const auto* reply = std::get_if<ReplyToCaller>(&aOut[k].Body())) {
      detail::CloseCall(aState, reply->Reply(), aNow, lines);
    }
  }
  std::move(lines.begin(), lines.end(), std::back_inserter(aOut));
}

/// Handles one event without the work that follows it.
void
HandleEvent(EntryState& aState, const EntryEvent& aEvent, Time aNow, Effects& aOut)
{
  if (!aState.mExited) {
    std::visit(EventHandler{ aState, aNow, aOut }, aEvent.Body());
  } else if (const auto* call = std::get_if<JobCall>(&aEvent.Body())) {
    // Connections stay open until the last answers have been sent, so calls that still arrive are
    // answered too.
    detail::HandleCall(aState, *call, aNow, aOut);
  }
}

/// Does the work that follows events.
void
FinishStep(EntryState& aState, Time aNow, Effects& aOut)
{
  detail::RenewMembership(aState, aNow, aOut);
  detail::ClaimIfOwnerLost(aState, aNow, aOut);
  if (aState.mCell) {
    AdvanceCell(*aState.mCell, aNow, aOut);
    if (aState.mCell->mFenced) {
      detail::StepDown(aState, "a newer owner was detected", aNow, aOut);
    }
  }
  detail::ConfirmOwnership(aState, aNow, aOut);
  detail::RelayWorkerOrders(aState, aNow, aOut);
  detail::ReturnRelayedAnswers(aState, aNow, aOut);
  detail::BroadcastOwnerState(aState, aNow, aOut);
  RemoveAnsweredCalls(aState, aNow, aOut);
  detail::ContinueStop(aState, aNow, aOut);
  detail::PublishReadiness(aState, aNow, aOut);
  RemoveAnsweredCalls(aState, aNow, aOut);
}

/// Runs a part of a step. An unexpected error ends that part, and the node goes on.
template<class Part>
void
RunGuarded(EntryState& aState, Time aNow, Effects& aOut, const Part& aPart)
{
  try {
    aPart();
  } catch (const std::exception& error) {
    detail::RecoverFromError(aState, error.what(), aNow, aOut);
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
  return StepEntry(aState, std::span(&aEvent, 1), aNow);
}

Effects
StepEntry(EntryState& aState, std::span<const EntryEvent> aEvents, Time aNow)
{
  Effects out;
  bool isFinished = true;
  for (const auto& event : aEvents) {
    const auto handled = out.size();
    RunGuarded(aState, aNow, out, [&] { HandleEvent(aState, event, aNow, out); });
    // A later event must not answer the same call again.
    RemoveAnsweredCalls(aState, aNow, out, handled);
    // A cell that a newer owner has taken over handles no further events.
    const bool isFenced = !aState.mExited && aState.mCell && aState.mCell->mFenced;
    if (isFenced) {
      RunGuarded(aState, aNow, out, [&] { FinishStep(aState, aNow, out); });
    }
    isFinished = isFenced || aState.mExited;
  }
  if (!isFinished) {
    RunGuarded(aState, aNow, out, [&] { FinishStep(aState, aNow, out); });
  }
  return out;
}

Time
NextTick(const EntryState& aState, Time aNow)
{
  auto next = std::min(aNow + kMemberTickInterval, aState.mReturnAnswersAt);
  if (!aState.mJoinInFlight && aState.mConfig && !aState.mStopping) {
    next = std::min(next, aState.mNextJoin);
  }
  if (aState.mCell) {
    next = std::min(
      { next, aNow + kOwnerTickInterval, NextWorkTime(*aState.mCell), aState.mRelays.mSendAt });
  }
  return std::max(next, aNow + kMinTickInterval);
}

} // namespace by
