#include "by_entry/detail/Links.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleAdvice.h"
#include "by_cell/HandleRequests.h"
#include "by_cell/detail/Emit.h"
#include "by_cell/detail/TeamRates.h"
#include "by_entry/detail/Authentication.h"
#include "by_entry/detail/Calls.h"
#include "by_entry/detail/ConfigExchange.h"
#include "by_entry/detail/Handover.h"
#include "by_entry/detail/Load.h"
#include "by_entry/detail/Ownership.h"
#include "by_entry/detail/RelayChoice.h"
#include "by_entry/detail/RelayMember.h"
#include "by_entry/detail/Relays.h"
#include "by_entry/detail/TeamAdmission.h"

namespace by::detail {

namespace {

/// Minimum interval between attempts to connect to the owner.
constexpr Time kLinkRetryDelay = Time::FromMilliseconds(200);

template<class Body>
LinkMessage
MessageOf(Body aBody)
{
  return LinkMessage::Create({ .mBody = std::move(aBody) }).value();
}

bool
IsClaimOfThisNode(const EntryState& aState, const CellClaim& aClaim)
{
  return aClaim.Node() == aState.mSettings.Node();
}

/// The owner reports the store as lost to members after an append has been unanswered for
/// kStoreLossReportDelay, or refused for kStoreRefusalReportDelay.
constexpr Time kStoreLossReportDelay = Time::FromMilliseconds(900);
constexpr Time kStoreRefusalReportDelay = Time::FromMilliseconds(200);

bool
HasLostStore(const EntryState& aState, Time aNow)
{
  if (aState.mPhase != OwnerPhase::Owner) {
    return false;
  }
  const auto& cell = *aState.mCell;
  return cell.mStoreLostAt +
           (cell.mStoreRejects ? kStoreRefusalReportDelay : kStoreLossReportDelay) <
         aNow;
}

/// @returns the teams whose submissions members forward only in part; none at other nodes.
std::vector<TeamLoad>
TeamLoadsOfOwner(const EntryState& aState)
{
  return aState.mPhase == OwnerPhase::Owner ? LimitedTeams(*aState.mCell) : std::vector<TeamLoad>();
}

/// Sends a claim to the nodes that have a link with this one, for those that can't reach the store:
/// the members of the last owner send it to that owner, which sends it to its other members.
void
AnnounceClaim(const EntryState& aState, const CellClaim& aClaim, Effects& aOut)
{
  if (!aState.mOwner || IsClaimOfThisNode(aState, aClaim)) {
    return;
  }
  if (aState.mLinkUp && aState.mOwner->Node() != aClaim.Node()) {
    EmitToOwner(aState, MessageOf(aClaim), aOut);
  }
  for (const auto& [node, member] : aState.mMembers) {
    if (node != aClaim.Node()) {
      EmitToMember(aState, node, MessageOf(aClaim), aOut);
    }
  }
}

/// Heartbeats carry the largest share to each member, so that it is not searched for then.
void
UpdateLargestShare(EntryState& aState)
{
  aState.mLargestMemberShare = 0;
  for (const auto& [node, member] : aState.mMembers) {
    aState.mLargestMemberShare = std::max(aState.mLargestMemberShare, member.mProcessorShare);
  }
}

void
HandleHeartbeat(EntryState& aState, const LinkHeartbeat& aHeartbeat, Time aNow, Effects& aOut)
{
  const bool isOutdated = aHeartbeat.Epoch() < aState.mOwner->Epoch();
  TakeOwnerVersion(aState, aHeartbeat, !isOutdated, aNow);
  if (isOutdated) {
    // It is of an earlier owner, or of a process that has not claimed the cell.
    return;
  }
  if (aState.mOwnerLostStore != aHeartbeat.StoreLost()) {
    Log(aOut,
        aHeartbeat.StoreLost() ? "owner.lost_store" : "owner.regained_store",
        aState.mOwner->Node(),
        absl::StrCat("epoch=", aHeartbeat.Epoch()));
  }
  aState.mOwnerLostStore = aHeartbeat.StoreLost();
  aState.mLargestShare = aHeartbeat.LargestShare();
  aState.mOwnerOverloadedAt =
    aHeartbeat.Overloaded() ? std::min(aState.mOwnerOverloadedAt, aNow) : Time::Never();
  TakeTeamLoads(aState, aHeartbeat, aNow);
  if (aHeartbeat.StoreLost()) {
    aState.mOwnerReleasedAt = std::min(aState.mOwnerReleasedAt, aNow);
  } else if (!aState.mOwnerLeaving) {
    aState.mOwnerReleasedAt = Time::Never();
  }
  if (!std::exchange(aState.mOwnerActive, aHeartbeat.Owner()) && aHeartbeat.Owner()) {
    ForwardCalls(aState, aNow, aOut);
  }
}

} // namespace

void
EmitToOwner(const EntryState& aState, LinkMessage aMessage, Effects& aOut)
{
  Emit(
    aOut,
    SendToOwner::Create({ .mMessage = std::move(aMessage), .mLink = aState.mOwnerLink }).value());
}

void
EmitToMember(const EntryState& aState,
             const std::string& aNode,
             LinkMessage aMessage,
             Effects& aOut)
{
  const auto it = aState.mMembers.find(aNode);
  if (it == aState.mMembers.end()) {
    return;
  }
  Emit(aOut,
       SendToMember::Create(
         { .mNode = aNode, .mMessage = std::move(aMessage), .mLink = it->second.mLink })
         .value());
}

void
FollowOwner(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut)
{
  Log(aOut,
      "owner.known",
      absl::StrCat("epoch ", aClaim.Epoch()),
      absl::StrCat("node=", aClaim.Node(), " link=", aClaim.Link().Address()));
  AnnounceClaim(aState, aClaim, aOut);
  aState.mOwner = aClaim;
  aState.mOwnerKnownAt = aNow;
  aState.mLinkUp = false;
  aState.mLinkDownAt = aNow;
  aState.mOwnerActive = false;
  aState.mOwnerLeaving = false;
  aState.mOwnerLostStore = false;
  aState.mOwnerOverloadedAt = Time::Never();
  aState.mOwnerReleasedAt = Time::Never();
  aState.mHandover.mAwaitedUntil = Time::Never();
  aState.mHandover.mIsSuccessor = false;
  if (aState.mPhase != OwnerPhase::Owner) {
    RequeueForwardedCalls(aState);
  }
  if (IsClaimOfThisNode(aState, aClaim)) {
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
  aState.mOwnerActive = false;
  aState.mConnectedAt = aNow;
  Emit(aOut, ConnectToOwner::Create({ .mPeer = aState.mOwner->Link() }).value());
}

void
HandleLinkChanged(EntryState& aState, const LinkChanged& aEvent, Time aNow, Effects& aOut)
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
    aState.mOwnerActive = false;
    aState.mOwnerOverloadedAt = Time::Never();
    RequeueForwardedCalls(aState);
    if (aEvent.Refused() && aState.mOwnerReleasedAt == Time::Never()) {
      aState.mOwnerReleasedAt = aNow;
    }
    if (wasUp) {
      aState.mLinkDownAt = aNow;
      // MaintainLink() opens a link again after the delay if it is reset as soon as it is open.
      if (aNow >= aState.mConnectedAt + kLinkRetryDelay) {
        Reconnect(aState, aNow, aOut);
      }
    }
    return;
  }
  if (!aState.mOwnerLeaving) {
    aState.mOwnerReleasedAt = Time::Never();
  }
  aState.mOwnerActive = false;
  // A withdrawal of a handover may have been sent while the link was down.
  aState.mHandover.mAwaitedUntil = Time::Never();
  if (wasUp) {
    // A newer connection has replaced the one that requests were sent over.
    RequeueForwardedCalls(aState);
  }
  aState.mOwnerLink = aEvent.Link();
  ResetOwnerVersion(aState, aNow);
  aState.mOwnerHeardAt = aNow;
  aState.mNextHeartbeat = aNow + aState.mSettings.HeartbeatInterval();
  auto hello = LinkHello::Create({ .mNode = aState.mSettings.Node(),
                                   .mIncarnation = aState.mSettings.Incarnation(),
                                   .mEpoch = aState.mOwner->Epoch(),
                                   .mZone = aState.mSettings.Zone(),
                                   .mProcessorShare = aState.mSettings.ProcessorShare() })
                 .value();
  EmitToOwner(aState, MessageOf(std::move(hello)), aOut);
}

void
HandleOwnerMessage(EntryState& aState, const FromOwner& aEvent, Time aNow, Effects& aOut)
{
  if (aEvent.Link() != aState.mOwnerLink) {
    if (const auto* reply = std::get_if<JobReply>(&aEvent.Message().Body())) {
      Log(aOut,
          "reply.link_lost",
          aState.mSettings.Node(),
          absl::StrCat("link=",
                       aEvent.Link(),
                       " call=",
                       reply->Call(),
                       " outcome=",
                       std::string(ToString(reply->Outcome()))));
    }
    return;
  }
  aState.mOwnerHeardAt = aNow;
  const auto& body = aEvent.Message().Body();
  if (const auto* reply = std::get_if<JobReply>(&body)) {
    HandleReply(aState, *reply, aNow, aOut);
  } else if (const auto* query = std::get_if<RequestAdvice>(&body)) {
    // A query has no side effects, so the epoch of the owner that sent it is not checked.
    Emit(aOut, *query);
  } else if (const auto* leaving = std::get_if<OwnerLeaving>(&body)) {
    HandleOwnerLeaving(aState, *leaving, aNow, aOut);
  } else if (const auto* orders = std::get_if<RelayOrders>(&body)) {
    PerformRelayOrders(*orders, aOut);
  } else if (const auto* claim = std::get_if<CellClaim>(&body)) {
    TakePeerClaim(aState, *claim, aNow, aOut);
  } else if (const auto* heartbeat = std::get_if<LinkHeartbeat>(&body)) {
    HandleHeartbeat(aState, *heartbeat, aNow, aOut);
  } else if (const auto* request = std::get_if<ConfigRequest>(&body)) {
    HandleOwnerConfigRequest(aState, *request, aOut);
  } else if (const auto* config = std::get_if<ClusterConfig>(&body)) {
    TakePeerConfig(aState, *config, aState.mOwner->Node(), aNow, aOut);
  }
}

void
HandleMemberMessage(EntryState& aState, const FromMember& aEvent, Time aNow, Effects& aOut)
{
  const auto it = aState.mMembers.find(aEvent.Node());
  if (it == aState.mMembers.end() || it->second.mLink != aEvent.Link()) {
    if (const auto* request = std::get_if<CellRequest>(&aEvent.Message().Body())) {
      Log(aOut, "call.link_lost", request->Job(), absl::StrCat("from=", aEvent.Node()));
    }
    return;
  }
  const auto& body = aEvent.Message().Body();
  it->second.mHeardAt = std::max(it->second.mHeardAt, aEvent.Received());
  if (const auto* hello = std::get_if<LinkHello>(&body)) {
    it->second.mZone = hello->Zone();
    it->second.mProcessorShare = hello->ProcessorShare();
    UpdateLargestShare(aState);
    RebalanceRelays(aState);
  }
  if (const auto* request = std::get_if<CellRequest>(&body)) {
    HandleMemberRequest(aState, aEvent, *request, aNow, aOut);
  } else if (const auto* advice = std::get_if<AdviceAnswered>(&body)) {
    if (aState.mCell) {
      HandleAdvice(*aState.mCell, *advice, aNow, aOut);
    }
  } else if (const auto* answers = std::get_if<RelayAnswers>(&body)) {
    HandleRelayAnswers(aState, aEvent.Node(), *answers, aNow, aOut);
  } else if (const auto* heartbeat = std::get_if<LinkHeartbeat>(&body)) {
    TakeMemberVersion(aState, aEvent.Node(), *heartbeat, aNow);
    SendMemberHeartbeat(aState, aEvent.Node(), aNow, aOut);
  } else if (const auto* wanted = std::get_if<ConfigRequest>(&body)) {
    HandleMemberConfigRequest(aState, aEvent.Node(), *wanted, aNow, aOut);
  } else if (const auto* config = std::get_if<ClusterConfig>(&body)) {
    TakePeerConfig(aState, *config, aEvent.Node(), aNow, aOut);
  } else if (const auto* claim = std::get_if<CellClaim>(&body)) {
    TakePeerClaim(aState, *claim, aNow, aOut);
  } else if (const auto* hello = std::get_if<LinkHello>(&body)) {
    const bool isOutdated = aState.mOwner && hello->Epoch() < aState.mOwner->Epoch() &&
                            !IsClaimOfThisNode(aState, *aState.mOwner);
    if (isOutdated) {
      EmitToMember(aState, aEvent.Node(), MessageOf(*aState.mOwner), aOut);
    }
  }
}

void
HandleMemberChanged(EntryState& aState, const MemberChanged& aEvent, Time aNow, Effects& aOut)
{
  Log(aOut,
      aEvent.Up() ? "member.linked" : "member.lost",
      aEvent.Node(),
      absl::StrCat("members=", aState.mMembers.size()));
  if (aEvent.Up()) {
    MemberRow member;
    member.mLink = aEvent.Link();
    member.mLinkedAt = aNow;
    member.mHeardAt = aNow;
    aState.mMembers.insert_or_assign(aEvent.Node(), std::move(member));
    SendMemberHeartbeat(aState, aEvent.Node(), aNow, aOut);
    if (aState.mStopping && aState.mPhase == OwnerPhase::Owner) {
      SendLeaving(aState, aEvent.Node(), aOut);
    }
  } else {
    aState.mMembers.erase(aEvent.Node());
    UpdateLargestShare(aState);
  }
  if (!aState.mCell) {
    return;
  }
  auto& proxies = aState.mCell->mAdviceProxies;
  std::erase_if(proxies, [&](const auto& aRow) { return aRow.mNode == aEvent.Node(); });
  if (aEvent.Up()) {
    proxies.push_back({ .mNode = aEvent.Node(), .mLink = aEvent.Link() });
  } else {
    ForgetCallers(*aState.mCell, aEvent.Node(), aEvent.Link());
    HandleRelayLost(aState, aEvent.Node(), aNow, aOut);
  }
}

void
BroadcastOwnerState(EntryState& aState, Time aNow, Effects& aOut)
{
  const bool isLost = HasLostStore(aState, aNow);
  const bool isOverloaded = IsOverloadedOwner(aState);
  auto teamLoads = TeamLoadsOfOwner(aState);
  if (std::exchange(aState.mStoreLossPublished, isLost) == isLost &&
      aState.mLoad.mOverloadPublished == isOverloaded &&
      aState.mLoad.mTeamLoadsPublished == teamLoads) {
    return;
  }
  aState.mLoad.mOverloadPublished = isOverloaded;
  aState.mLoad.mTeamLoadsPublished = std::move(teamLoads);
  SendMemberHeartbeats(aState, aNow, aOut);
}

void
SendMemberHeartbeat(const EntryState& aState, const std::string& aNode, Time aNow, Effects& aOut)
{
  const bool isOwner = aState.mPhase == OwnerPhase::Owner;
  const auto version = AnnouncedVersion(aState);
  auto heartbeat =
    LinkHeartbeat::Create({ .mEpoch = aState.mEpoch,
                            .mOwner = isOwner,
                            .mStoreLost = HasLostStore(aState, aNow),
                            .mOverloaded = IsOverloadedOwner(aState),
                            .mLargestShare = aState.mLargestMemberShare,
                            .mConfigVersion = version,
                            .mTeamLoads = TeamLoadsOfOwner(aState),
                            .mConfigAge = version > 0 ? aNow - ConfigConfirmedAt(aState) : Time() })
      .value();
  EmitToMember(aState, aNode, MessageOf(std::move(heartbeat)), aOut);
}

void
SendMemberHeartbeats(const EntryState& aState, Time aNow, Effects& aOut)
{
  for (const auto& [node, member] : aState.mMembers) {
    SendMemberHeartbeat(aState, node, aNow, aOut);
  }
}

void
MaintainLink(EntryState& aState, Time aNow, Effects& aOut)
{
  if (!aState.mOwner || IsClaimOfThisNode(aState, *aState.mOwner) ||
      aState.mPhase == OwnerPhase::Owner) {
    return;
  }
  if (!aState.mLinkUp) {
    if (aNow >= aState.mConnectedAt + kLinkRetryDelay) {
      Reconnect(aState, aNow, aOut);
    }
    return;
  }
  if (aNow >= aState.mOwnerHeardAt + aState.mSettings.LinkTimeout()) {
    Log(aOut,
        "link.silent",
        aState.mOwner->Node(),
        absl::StrCat("silent_ms=", (aNow - aState.mOwnerHeardAt).Milliseconds()));
    RequeueForwardedCalls(aState);
    Reconnect(aState, aNow, aOut);
    return;
  }
  if (aNow >= aState.mNextHeartbeat) {
    aState.mNextHeartbeat = aNow + aState.mSettings.HeartbeatInterval();
    auto heartbeat = LinkHeartbeat::Create({ .mEpoch = aState.mOwner->Epoch(),
                                             .mOwner = false,
                                             .mConfigVersion = AnnouncedVersion(aState) })
                       .value();
    EmitToOwner(aState, MessageOf(std::move(heartbeat)), aOut);
  }
}

} // namespace by::detail
