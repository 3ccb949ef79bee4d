#include "by_entry/detail/Ownership.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/HandleRequests.h"
#include "by_cell/HandleWaves.h"
#include "by_cell/RestoreCell.h"
#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Calls.h"
#include "by_entry/detail/ClaimDelay.h"
#include "by_entry/detail/Handover.h"
#include "by_entry/detail/Links.h"
#include "by_queueing/OwnerWait.h"

namespace by::detail {

namespace {

/// Delay before a failed step of acquiring the cell is retried.
constexpr Time kClaimRetryDelay = Time::FromMilliseconds(100);
/// The owner counts as lost once its link has been down for this long, or once this long has passed
/// since the last message of an owner that is not active. A newly elected node has already waited
/// for the owner's group membership to expire.
constexpr Time kOwnerLossTimeout = Time::FromMilliseconds(300);
/// If the group has changed less than kRecentChange ago, an owner counts as lost that has been
/// silent for the interval of its heartbeats and this long.
constexpr Time kSilenceMargin = Time::FromMilliseconds(400);
constexpr Time kRecentChange = Time::FromMilliseconds(1500);
/// Nodes that know that the owner is gone, leaving or without the store delay their claims by a
/// number of steps derived from their incarnation, so that they seldom claim at the same time.
constexpr std::int64_t kPreemptiveClaimStepMs = 15;
constexpr std::uint64_t kPreemptiveClaimSteps = 8;
/// Nodes notice a silent owner one after another, by at most this.
constexpr Time kSilenceSkew = Time::FromMilliseconds(150);
/// An owner that the store has not confirmed for this long reads the claim, at most this often.
constexpr Time kConfirmInterval = Time::FromMilliseconds(1000);
/// The shortest time between two such reads, where callers wait for the answer.
constexpr Time kMinConfirmInterval = Time::FromMilliseconds(50);
/// A linked owner that has just claimed the cell is given this long to load it.
constexpr Time kOwnerLoadTimeout = Time::FromMilliseconds(1500);
/// After an outage of the store, an owner that lost it is given this long to regain it before
/// another node claims the cell.
constexpr Time kStoreRegainTime = Time::FromMilliseconds(500);
/// Minimum time between claims of a node that was not elected. It keeps nodes that cannot reach
/// each other from claiming the cell from each other endlessly.
constexpr Time kPreemptiveClaimInterval = Time::FromMilliseconds(3000);

bool
IsClaimOfThisProcess(const EntryState& aState, const CellClaim& aClaim)
{
  return aClaim.Node() == aState.mSettings.Node() &&
         aClaim.Incarnation() == aState.mSettings.Incarnation();
}

/// @returns whether an owner that reports the store as lost may just as well be hit by an outage
/// that hit this node too, and may regain the store by itself.
bool
MayOwnerRegainStore(const EntryState& aState, Time aNow)
{
  return aState.mOwnerLostStore && !aState.mOwnerLeaving && aState.mLinkUp &&
         aNow < aState.mStoreFailedAt + kStoreRegainTime;
}

/// @returns whether another node has claimed the cell since this node began to claim it.
bool
IsForestalled(const EntryState& aState, const CellClaim& aClaim)
{
  return aState.mClaimedAfter && aClaim.Epoch() > *aState.mClaimedAfter &&
         !IsClaimOfThisProcess(aState, aClaim);
}

void
ReadNewestClaim(EntryState& aState, Effects& aOut)
{
  aState.mPhase = OwnerPhase::ReadingClaim;
  aState.mRetryAt = Time::Never();
  Emit(aOut, ReadClaim::Create({ .mNumber = ++aState.mClaimReadNumber }).value());
}

void
BeginClaim(EntryState& aState, Effects& aOut)
{
  aState.mHandover.mIsSuccessor = false;
  aState.mClaimedAfter = aState.mOwner ? std::optional(aState.mOwner->Epoch()) : std::nullopt;
  ReadNewestClaim(aState, aOut);
}

/// Takes the answer to a read of ConfirmOwnership; claims that the store reports by itself have no
/// end.
void
HandleConfirmation(EntryState& aState, const ClaimRead& aEvent)
{
  const bool isDone = aEvent.Outcome() == StoreOutcome::Done;
  if (!aState.mConfirmInFlight || (isDone && aEvent.End() == 0)) {
    return;
  }
  aState.mConfirmInFlight = false;
  if (isDone && aState.mPhase == OwnerPhase::Owner && aEvent.Claim() &&
      aEvent.Claim()->Epoch() == aState.mEpoch && IsClaimOfThisProcess(aState, *aEvent.Claim())) {
    auto& cell = *aState.mCell;
    cell.mConfirmedAt = std::max(cell.mConfirmedAt, aState.mConfirmSentAt);
    cell.mClaimConfirmedAt = std::max(cell.mClaimConfirmedAt, aState.mConfirmSentAt);
  }
}

void
BeginLoad(EntryState& aState, std::uint64_t aEpoch, Time aNow, Effects& aOut)
{
  aState.mPhase = OwnerPhase::Loading;
  aState.mClaimedAt = aNow;
  aState.mEpoch = aEpoch;
  aState.mRetryAt = Time::Never();
  Log(aOut, "owner.claimed", absl::StrCat("epoch ", aEpoch), "next=load");
  Emit(aOut, LoadCell::Create({ .mEpoch = aEpoch }).value());
}

void
WriteOwnClaim(EntryState& aState, const ClaimRead& aEvent, Effects& aOut)
{
  const auto newest = aEvent.Claim() ? aEvent.Claim()->Epoch() : 0;
  aState.mPhase = OwnerPhase::Claiming;
  auto claim = CellClaim::Create({ .mEpoch = newest + 1,
                                   .mNode = aState.mSettings.Node(),
                                   .mIncarnation = aState.mSettings.Incarnation(),
                                   .mLink = aState.mSettings.Link() })
                 .value();
  Emit(aOut, WriteClaim::Create({ .mClaim = std::move(claim), .mEnd = aEvent.End() }).value());
}

/// Follows the owner that a claim names if it is newer, and steps down if this node is an earlier
/// one.
void
TakeClaim(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut)
{
  if (!aState.mOwner || aState.mOwner->Epoch() < aClaim.Epoch()) {
    FollowOwner(aState, aClaim, aNow, aOut);
  }
  if (aClaim.Epoch() > aState.mEpoch && !IsClaimOfThisProcess(aState, aClaim) &&
      (aState.mPhase == OwnerPhase::Owner || aState.mPhase == OwnerPhase::Loading)) {
    StepDown(aState, "another node claimed the cell", aNow, aOut);
  }
}

} // namespace

void
ClaimIfOwnerLost(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Member || !aState.mConfig || aState.mStopping ||
      aState.mJoinedAt == Time()) {
    return;
  }
  const bool isStoreAway =
    aState.mStoreLostAt != Time::Never() && IsOutage(aNow - aState.mStoreLostAt);
  if (isStoreAway || MayOwnerRegainStore(aState, aNow)) {
    return;
  }
  const bool hasNoOtherOwner = !aState.mOwner || aState.mOwner->Node() == aState.mSettings.Node();
  const bool isUnreachable = !aState.mLinkUp && aNow > aState.mLinkDownAt + kOwnerLossTimeout;
  const bool isInactive = aState.mLinkUp && !aState.mOwnerActive &&
                          aNow > aState.mOwnerHeardAt + kOwnerLossTimeout &&
                          aNow > aState.mOwnerKnownAt + kOwnerLoadTimeout;
  // A change of the group and a silent link together show sooner than either that the owner is
  // gone: the store has not heard from some node either. An owner that is only slow loses the cell
  // to a node that serves at once.
  const bool isSilent =
    aState.mLinkUp &&
    aNow > aState.mOwnerHeardAt + aState.mSettings.HeartbeatInterval() + kSilenceMargin &&
    aNow < aState.mGroupChangedAt + kRecentChange;
  if (isSilent) {
    // The larger nodes see the same, or will soon, and claim the cell first.
    const auto skew = ShareDelay(aState) > Time() ? kSilenceSkew : Time();
    aState.mOwnerReleasedAt = std::min(aState.mOwnerReleasedAt, aNow + skew);
  }
  const bool hasOwnedEarlier =
    hasNoOtherOwner && aState.mOwner && !IsClaimOfThisProcess(aState, *aState.mOwner);
  const bool isReleased = aNow >= aState.mOwnerReleasedAt + ShareDelay(aState);
  // The claim of an earlier process of this node shows that the owner is gone for certain.
  if (hasOwnedEarlier ||
      (aState.mElected && (hasNoOtherOwner || isUnreachable || isInactive || isReleased))) {
    Log(aOut,
        "owner.claiming",
        aState.mSettings.Node(),
        absl::StrCat("chosen=",
                     aState.mElected,
                     " orphan=",
                     hasNoOtherOwner,
                     " lost=",
                     isUnreachable,
                     " idle=",
                     isInactive,
                     " silent=",
                     isSilent,
                     " leaving=",
                     aState.mOwnerLeaving,
                     " store_lost=",
                     aState.mOwnerLostStore));
    BeginClaim(aState, aOut);
    return;
  }
  const auto step =
    static_cast<std::int64_t>(aState.mSettings.Incarnation() % kPreemptiveClaimSteps);
  const auto preemptAt = aState.mOwnerReleasedAt + ShareDelay(aState) +
                         Time::FromMilliseconds(step * kPreemptiveClaimStepMs);
  const bool mayPreempt =
    preemptAt <= aNow && aNow > aState.mPreemptiveClaimAt + kPreemptiveClaimInterval;
  if (!hasNoOtherOwner && (aState.mHandover.mIsSuccessor || mayPreempt)) {
    aState.mPreemptiveClaimAt = aNow;
    Log(aOut,
        "owner.claiming",
        aState.mSettings.Node(),
        absl::StrCat("chosen=0 leaving=",
                     aState.mOwnerLeaving,
                     " store_lost=",
                     aState.mOwnerLostStore,
                     " link_up=",
                     aState.mLinkUp,
                     " successor=",
                     aState.mHandover.mIsSuccessor));
    BeginClaim(aState, aOut);
  }
}

void
ConfirmOwnership(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Owner || aState.mConfirmInFlight) {
    return;
  }
  const auto last = std::max(aState.mConfirmSentAt, aState.mCell->mConfirmedAt);
  const bool isDue = aNow >= last + kConfirmInterval;
  const bool isAwaited =
    AwaitsClaimConfirmation(*aState.mCell) && aNow >= aState.mConfirmSentAt + kMinConfirmInterval;
  if (!isDue && !isAwaited) {
    return;
  }
  aState.mConfirmInFlight = true;
  aState.mConfirmSentAt = aNow;
  Emit(aOut, ReadClaim::Create({ .mNumber = ++aState.mClaimReadNumber }).value());
}

void
TakePeerClaim(EntryState& aState, const CellClaim& aClaim, Time aNow, Effects& aOut)
{
  const bool isNewer = !aState.mOwner || aState.mOwner->Epoch() < aClaim.Epoch();
  if (aState.mStoreLostAt == Time::Never() || !isNewer) {
    return;
  }
  TakeClaim(aState, aClaim, aNow, aOut);
  aState.mOwnerUnconfirmed = true;
}

void
HandleClaimRead(EntryState& aState, const ClaimRead& aEvent, Time aNow, Effects& aOut)
{
  HandleConfirmation(aState, aEvent);
  if (aEvent.Outcome() != StoreOutcome::Done) {
    aState.mStoreFailedAt = aNow;
    if (aState.mPhase == OwnerPhase::ReadingClaim && MayOwnerRegainStore(aState, aNow)) {
      aState.mPhase = OwnerPhase::Member;
    } else if (aState.mPhase == OwnerPhase::ReadingClaim) {
      aState.mRetryAt = aNow + kClaimRetryDelay;
    }
    return;
  }
  const auto& claim = aEvent.Claim();
  if (claim && std::exchange(aState.mOwnerUnconfirmed, false) &&
      claim->Epoch() < aState.mOwner->Epoch()) {
    Log(aOut,
        "owner.unconfirmed",
        absl::StrCat("epoch ", aState.mOwner->Epoch()),
        absl::StrCat("node=", aState.mOwner->Node(), " stored_epoch=", claim->Epoch()));
    FollowOwner(aState, *claim, aNow, aOut);
  } else if (claim) {
    TakeClaim(aState, *claim, aNow, aOut);
  }
  if (aState.mPhase != OwnerPhase::ReadingClaim) {
    return;
  }
  // The claim of an earlier process of this node shows that the owner is gone for certain.
  if (claim && (IsForestalled(aState, *claim) ||
                (!aState.mElected && claim->Node() != aState.mSettings.Node() &&
                 aState.mOwnerReleasedAt == Time::Never()))) {
    // Another node claimed first; its claim has just been recorded as the owner's.
    aState.mPhase = OwnerPhase::Member;
    return;
  }
  if (claim && IsClaimOfThisProcess(aState, *claim) && claim->Epoch() > aState.mEpoch) {
    BeginLoad(aState, claim->Epoch(), aNow, aOut);
    return;
  }
  WriteOwnClaim(aState, aEvent, aOut);
}

void
HandleClaimWritten(EntryState& aState, const ClaimWritten& aEvent, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Claiming) {
    return;
  }
  if (aEvent.Outcome() == StoreOutcome::Done) {
    FollowOwner(aState, aEvent.Claim(), aNow, aOut);
    BeginLoad(aState, aEvent.Claim().Epoch(), aNow, aOut);
    return;
  }
  // Reading the claims again shows whether an unanswered write took effect.
  aState.mPhase = OwnerPhase::ReadingClaim;
  aState.mRetryAt = aNow + kClaimRetryDelay;
}

void
HandleCellLoaded(EntryState& aState, const CellLoaded& aEvent, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Loading || aEvent.Epoch() != aState.mEpoch) {
    return;
  }
  if (aEvent.Outcome() == StoreOutcome::Fenced || aEvent.Outcome() == StoreOutcome::Conflict) {
    StepDown(aState, "fenced by a newer owner while loading the cell", aNow, aOut);
    return;
  }
  if (aEvent.Outcome() != StoreOutcome::Done) {
    aState.mRetryAt = aNow + kClaimRetryDelay;
    return;
  }
  CellState cell;
  cell.mSettings = aState.mSettings.Cell();
  cell.mNode = aState.mSettings.Node();
  cell.mEpoch = aState.mEpoch;
  cell.mConfig = *aState.mConfig;
  // The claim was in force then; the answers since may have come late.
  cell.mConfirmedAt = aState.mClaimedAt;
  cell.mOwnerSince = aNow;
  // The append that fenced earlier owners has used the first sequence number of this epoch.
  cell.mNextSequence = 1;
  cell.mAdviceProxies.push_back({ .mNode = aState.mSettings.Node() });
  for (const auto& [node, member] : aState.mMembers) {
    cell.mAdviceProxies.push_back({ .mNode = node, .mLink = member.mLink });
  }
  aState.mCell = RestoreCell(std::move(cell), aEvent.Records(), aNow, aOut);
  for (const auto& [number, wave] : aState.mWaves) {
    HandleWave(*aState.mCell, wave, aNow, aOut);
  }
  aState.mPhase = OwnerPhase::Owner;
  aState.mRelays = {};
  Emit(
    aOut,
    WatchWorkers::Create({ .mFollow = true, .mPause = aState.mSettings.Cell().RegistryInterval() })
      .value());
  Emit(aOut, ConnectToOwner());
  aState.mLinkUp = false;
  SendMemberHeartbeats(aState, aNow, aOut);
  if (aState.mStopping) {
    AnnounceLeaving(aState, {}, aOut);
  }
  ForwardCalls(aState, aNow, aOut);
}

void
StepDown(EntryState& aState, const char* aReason, Time aNow, Effects& aOut)
{
  Log(aOut,
      "owner.stepped_down",
      absl::StrCat("epoch ", aState.mEpoch),
      absl::StrCat("reason=", aReason, " phase=", std::string(ToString(aState.mPhase))));
  aState.mPhase = OwnerPhase::Member;
  aState.mRetryAt = Time::Never();
  aState.mCell.reset();
  aState.mConfirmInFlight = false;
  aState.mHandover.mSuccessor.clear();
  aState.mRelays = {};
  Emit(aOut, WatchWorkers::Create({ .mFollow = false }).value());
  SendMemberHeartbeats(aState, aNow, aOut);
  RequeueForwardedCalls(aState);
  if (aState.mOwner && !IsClaimOfThisProcess(aState, *aState.mOwner)) {
    Reconnect(aState, aNow, aOut);
  }
}

void
RetryClaim(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aNow < aState.mRetryAt) {
    return;
  }
  aState.mRetryAt = Time::Never();
  if (aState.mPhase == OwnerPhase::ReadingClaim) {
    ReadNewestClaim(aState, aOut);
  } else if (aState.mPhase == OwnerPhase::Loading) {
    Emit(aOut, LoadCell::Create({ .mEpoch = aState.mEpoch }).value());
  }
}

} // namespace by::detail
