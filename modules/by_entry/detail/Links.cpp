#include "by_entry/detail/Links.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleAdvice.h"
#include "by_cell/HandleRequests.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Calls.h"

namespace by::detail {

namespace {

/// Pause before a link that could not be opened is tried again.
constexpr Time kLinkRetry = Time::FromMilliseconds(200);

template<class Body>
LinkMessage
MessageOf(Body aBody)
{
  return LinkMessage::Create({ .mBody = std::move(aBody) }).value();
}

bool
IsOwnClaim(const EntryState& aState, const CellClaim& aClaim)
{
  return aClaim.Node() == aState.mSettings.Node();
}

/// The store is taken as lost once an append has been open for this long, and sooner where it
/// turns appends away.
constexpr Time kStoreLost = Time::FromMilliseconds(900);
constexpr Time kStoreRefuses = Time::FromMilliseconds(200);

bool
HasLostStore(const EntryState& aState, Time aNow)
{
  if (aState.mPhase != OwnerPhase::Owner) {
    return false;
  }
  const auto& cell = *aState.mCell;
  return cell.mStoreLostAt + (cell.mStoreRejects ? kStoreRefuses : kStoreLost) < aNow;
}

/// Tells a member whether this node acts as the owner.
void
TellMember(const EntryState& aState, const std::string& aNode, Time aNow, Effects& aOut)
{
  const bool isOwner = aState.mPhase == OwnerPhase::Owner;
  auto beat =
    LinkHeartbeat::Create(
      { .mEpoch = aState.mEpoch, .mOwner = isOwner, .mStoreLost = HasLostStore(aState, aNow) })
      .value();
  Emit(aOut,
       SendToMember::Create({ .mNode = aNode, .mMessage = MessageOf(std::move(beat)) }).value());
}

void
TakeBeat(EntryState& aState, const LinkHeartbeat& aBeat, Time aNow, Effects& aOut)
{
  if (aState.mOwnerLostStore != aBeat.StoreLost()) {
    Log(aOut,
        aBeat.StoreLost() ? "owner.lost_store" : "owner.regained_store",
        aState.mOwner->Node(),
        absl::StrCat("epoch=", aBeat.Epoch()));
  }
  aState.mOwnerLostStore = aBeat.StoreLost();
  if (aBeat.StoreLost()) {
    aState.mOwnerYieldsAt = std::min(aState.mOwnerYieldsAt, aNow);
  } else if (!aState.mOwnerLeaving) {
    aState.mOwnerYieldsAt = Time::Never();
  }
  if (!std::exchange(aState.mOwnerActs, aBeat.Owner()) && aBeat.Owner()) {
    HandOver(aState, aNow, aOut);
  }
}

void
TakeRequest(EntryState& aState,
            const std::string& aNode,
            const CellRequest& aRequest,
            Time aNow,
            Effects& aOut)
{
  if (aState.mPhase == OwnerPhase::Owner) {
    HandleRequest(*aState.mCell, { aNode, aRequest.Call() }, aRequest, aNow, aOut);
    return;
  }
  Log(aOut, "call.misdirected", aRequest.Job(), absl::StrCat("from=", aNode));
  auto reply = JobReply::Create({ .mCall = aRequest.Call(),
                                  .mOutcome = JobCallOutcome::Refused,
                                  .mRetryAfter = aState.mSettings.RetryAfter() })
                 .value();
  Emit(aOut,
       SendToMember::Create({ .mNode = aNode, .mMessage = MessageOf(std::move(reply)) }).value());
}

} // namespace

void
FollowOwner(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut)
{
  Log(aOut,
      "owner.known",
      absl::StrCat("epoch ", aClaim.Epoch()),
      absl::StrCat("node=", aClaim.Node(), " link=", aClaim.Link().Address()));
  aState.mOwner = aClaim;
  aState.mLinkUp = false;
  aState.mLinkDownAt = aNow;
  aState.mOwnerActs = false;
  aState.mOwnerLeaving = false;
  aState.mOwnerLostStore = false;
  aState.mOwnerYieldsAt = Time::Never();
  if (aState.mPhase != OwnerPhase::Owner) {
    TakeBackHanded(aState);
  }
  if (IsOwnClaim(aState, aClaim)) {
    return;
  }
  Reconnect(aState, aNow, aOut);
}

void
Reconnect(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mLinkUp) {
    aState.mLinkDownAt = aNow;
  }
  aState.mLinkUp = false;
  aState.mOwnerActs = false;
  aState.mConnectedAt = aNow;
  Emit(aOut, ConnectToOwner::Create({ .mPeer = aState.mOwner->Link() }).value());
}

void
TakeLinkChanged(EntryState& aState, const LinkChanged& aEvent, Time aNow, Effects& aOut)
{
  if (!aState.mOwner || aState.mOwner->Link() != aEvent.Peer() ||
      aState.mPhase == OwnerPhase::Owner) {
    return;
  }
  if (aState.mLinkUp != aEvent.Up()) {
    Log(aOut,
        aEvent.Up() ? "link.regained" : "link.lost",
        aState.mOwner->Node(),
        absl::StrCat("epoch=", aState.mOwner->Epoch()));
  }
  const bool wasUp = std::exchange(aState.mLinkUp, aEvent.Up());
  if (!aEvent.Up()) {
    aState.mOwnerActs = false;
    TakeBackHanded(aState);
    if (aEvent.Refused() && aState.mOwnerYieldsAt == Time::Never()) {
      aState.mOwnerYieldsAt = aNow;
    }
    if (wasUp) {
      aState.mLinkDownAt = aNow;
      Reconnect(aState, aNow, aOut);
    }
    return;
  }
  if (!aState.mOwnerLeaving) {
    aState.mOwnerYieldsAt = Time::Never();
  }
  aState.mOwnerHeardAt = aNow;
  aState.mNextBeat = aNow + aState.mSettings.HeartbeatInterval();
  Emit(aOut,
       SendToOwner::Create(
         { .mMessage = MessageOf(LinkHello::Create({ .mNode = aState.mSettings.Node(),
                                                     .mIncarnation = aState.mSettings.Incarnation(),
                                                     .mEpoch = aState.mOwner->Epoch() })
                                   .value()) })
         .value());
}

void
TakeFromOwner(EntryState& aState, const FromOwner& aEvent, Time aNow, Effects& aOut)
{
  aState.mOwnerHeardAt = aNow;
  const auto& body = aEvent.Message().Body();
  if (const auto* reply = std::get_if<JobReply>(&body)) {
    TakeReply(aState, *reply, aOut);
  } else if (const auto* ask = std::get_if<RequestAdvice>(&body)) {
    // A question has no effect, so each node asks on behalf of any owner.
    Emit(aOut, *ask);
  } else if (const auto* leaving = std::get_if<OwnerLeaving>(&body)) {
    Log(aOut, "owner.leaving", absl::StrCat("epoch ", leaving->Epoch()), "next=join at once");
    aState.mNextJoin = aNow;
    aState.mOwnerLeaving = true;
    aState.mOwnerYieldsAt = std::min(aState.mOwnerYieldsAt, aNow);
  } else if (const auto* beat = std::get_if<LinkHeartbeat>(&body)) {
    TakeBeat(aState, *beat, aNow, aOut);
  }
}

void
TakeFromMember(EntryState& aState, const FromMember& aEvent, Time aNow, Effects& aOut)
{
  const auto& body = aEvent.Message().Body();
  if (const auto* request = std::get_if<CellRequest>(&body)) {
    TakeRequest(aState, aEvent.Node(), *request, aNow, aOut);
  } else if (const auto* advice = std::get_if<AdviceAnswered>(&body)) {
    if (aState.mCell) {
      HandleAdvice(*aState.mCell, *advice, aNow, aOut);
    }
  } else if (std::holds_alternative<LinkHeartbeat>(body)) {
    TellMember(aState, aEvent.Node(), aNow, aOut);
  }
}

void
TakeMemberChanged(EntryState& aState, const MemberChanged& aEvent, Time aNow, Effects& aOut)
{
  Log(aOut,
      aEvent.Up() ? "member.linked" : "member.lost",
      aEvent.Node(),
      absl::StrCat("members=", aState.mMembers.size()));
  if (aEvent.Up()) {
    aState.mMembers.insert(aEvent.Node());
    TellMember(aState, aEvent.Node(), aNow, aOut);
  } else {
    aState.mMembers.erase(aEvent.Node());
  }
  if (!aState.mCell) {
    return;
  }
  auto& advisers = aState.mCell->mAdviceProxies;
  std::erase_if(advisers, [&](const auto& aRow) { return aRow.mNode == aEvent.Node(); });
  if (aEvent.Up()) {
    advisers.push_back({ .mNode = aEvent.Node(), .mOpenQueries = {} });
  } else {
    ForgetCallers(*aState.mCell, aEvent.Node());
  }
}

void
TellStoreLost(EntryState& aState, Time aNow, Effects& aOut)
{
  const bool isLost = HasLostStore(aState, aNow);
  if (std::exchange(aState.mToldStoreLost, isLost) == isLost) {
    return;
  }
  for (const auto& member : aState.mMembers) {
    TellMember(aState, member, aNow, aOut);
  }
}

void
KeepLink(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!aState.mOwner || IsOwnClaim(aState, *aState.mOwner) || aState.mPhase == OwnerPhase::Owner) {
    return;
  }
  if (!aState.mLinkUp) {
    if (aNow >= aState.mConnectedAt + kLinkRetry) {
      Reconnect(aState, aNow, aOut);
    }
    return;
  }
  if (aNow >= aState.mOwnerHeardAt + aState.mSettings.LinkTimeout()) {
    Log(aOut,
        "link.silent",
        aState.mOwner->Node(),
        absl::StrCat("silent_ms=", (aNow - aState.mOwnerHeardAt).Milliseconds()));
    TakeBackHanded(aState);
    Reconnect(aState, aNow, aOut);
    return;
  }
  if (aNow >= aState.mNextBeat) {
    aState.mNextBeat = aNow + aState.mSettings.HeartbeatInterval();
    auto beat =
      LinkHeartbeat::Create({ .mEpoch = aState.mOwner->Epoch(), .mOwner = false }).value();
    Emit(aOut, SendToOwner::Create({ .mMessage = MessageOf(std::move(beat)) }).value());
  }
}

} // namespace by::detail
