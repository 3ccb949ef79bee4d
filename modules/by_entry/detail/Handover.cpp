#include "by_entry/detail/Handover.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

#include "by_cell/detail/Emit.h"
#include "by_entry/detail/Links.h"

namespace by::detail {

namespace {

/// An owner hands the cell over to a member with more than this many times its processor share.
constexpr std::uint64_t kHandoverShareFactor = 2;
/// A member must have been linked for this long before the cell is handed over to it.
constexpr Time kSuccessorLinkAge = Time::FromMilliseconds(1000);
/// Minimum time between handovers that a node knows of, so that nodes do not take turns.
constexpr Time kHandoverInterval = Time::FromMilliseconds(5000);
/// The owner withdraws a handover if it has seen no newer claim for this long.
constexpr Time kHandoverTimeout = Time::FromMilliseconds(1000);
/// Members wait this long for the claim of the successor. Longer than kHandoverTimeout, so that the
/// withdrawal of a working owner arrives first.
constexpr Time kSuccessorTimeout = Time::FromMilliseconds(1500);
/// No handover begins while an append has been unanswered for this long.
constexpr Time kSteadyStoreDelay = Time::FromMilliseconds(250);

LinkMessage
LeavingMessage(const EntryState& aState, const std::string& aSuccessor)
{
  auto leaving =
    OwnerLeaving::Create({ .mEpoch = aState.mEpoch, .mSuccessor = aSuccessor }).value();
  return LinkMessage::Create({ .mBody = std::move(leaving) }).value();
}

bool
IsStoreSteady(const CellState& aCell, Time aNow)
{
  return aCell.mStoreLostAt == Time::Never() && !aCell.mStoreRejects &&
         (!aCell.mInFlight || aNow < aCell.mInFlight->mFirstSent + kSteadyStoreDelay);
}

bool
IsMaintenanceInProgress(const CellState& aCell)
{
  return std::any_of(aCell.mWaves.begin(), aCell.mWaves.end(), [](const auto& aEntry) {
    return !aEntry.second.mCompleted;
  });
}

/// @returns the member to hand the cell over to; empty if none is large enough. A member that did
/// not take up an earlier handover is chosen only if no other one qualifies.
std::string
FindSuccessor(const EntryState& aState, Time aNow)
{
  const auto rankOf = [&](const auto& aEntry) {
    return std::tuple(aEntry.first != aState.mHandover.mFailedSuccessor,
                      aEntry.second.mProcessorShare);
  };
  const auto isCandidate = [&](const auto& aEntry) {
    const auto& member = aEntry.second;
    return kHandoverShareFactor * aState.mSettings.ProcessorShare() < member.mProcessorShare &&
           member.mLinkedAt + kSuccessorLinkAge <= aNow &&
           aNow < member.mHeardAt + aState.mSettings.LinkTimeout();
  };
  const auto* best = static_cast<const std::pair<const std::string, MemberRow>*>(nullptr);
  for (const auto& entry : aState.mMembers) {
    if (isCandidate(entry) && (best == nullptr || rankOf(*best) < rankOf(entry))) {
      best = &entry;
    }
  }
  return best == nullptr ? std::string() : best->first;
}

void
BeginHandover(EntryState& aState, const std::string& aSuccessor, Time aNow, Effects& aOut)
{
  aState.mHandover.mSuccessor = aSuccessor;
  aState.mHandover.mAnnouncedAt = aNow;
  Log(aOut,
      "owner.handing_over",
      absl::StrCat("epoch ", aState.mEpoch),
      absl::StrCat("to=",
                   aSuccessor,
                   " share=",
                   aState.mSettings.ProcessorShare(),
                   " successor_share=",
                   aState.mMembers.at(aSuccessor).mProcessorShare));
  AnnounceLeaving(aState, aSuccessor, aOut);
}

void
WithdrawHandover(EntryState& aState, Time aNow, Effects& aOut)
{
  auto& handover = aState.mHandover;
  Log(aOut,
      "owner.handover_withdrawn",
      absl::StrCat("epoch ", aState.mEpoch),
      absl::StrCat("to=",
                   handover.mSuccessor,
                   " linked=",
                   aState.mMembers.contains(handover.mSuccessor),
                   " after_ms=",
                   (aNow - handover.mAnnouncedAt).Milliseconds()));
  handover.mFailedSuccessor = std::exchange(handover.mSuccessor, {});
  AnnounceLeaving(aState, aState.mSettings.Node(), aOut);
}

void
ReleaseOwner(EntryState& aState, Time aNow)
{
  aState.mNextJoin = aNow;
  aState.mOwnerLeaving = true;
  aState.mOwnerReleasedAt = std::min(aState.mOwnerReleasedAt, aNow);
}

} // namespace

void
ContinueHandover(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aState.mPhase != OwnerPhase::Owner || aState.mStopping) {
    return;
  }
  const auto& handover = aState.mHandover;
  if (!handover.mSuccessor.empty()) {
    if (!aState.mMembers.contains(handover.mSuccessor) ||
        aNow >= handover.mAnnouncedAt + kHandoverTimeout) {
      WithdrawHandover(aState, aNow, aOut);
    }
    return;
  }
  if (aNow < handover.mAnnouncedAt + kHandoverInterval || !IsStoreSteady(*aState.mCell, aNow) ||
      IsMaintenanceInProgress(*aState.mCell)) {
    return;
  }
  if (const auto successor = FindSuccessor(aState, aNow); !successor.empty()) {
    BeginHandover(aState, successor, aNow, aOut);
  }
}

void
HandleOwnerLeaving(EntryState& aState, const OwnerLeaving& aLeaving, Time aNow, Effects& aOut)
{
  if (!aState.mOwner || aLeaving.Epoch() != aState.mOwner->Epoch()) {
    return;
  }
  auto& handover = aState.mHandover;
  const auto& successor = aLeaving.Successor();
  const bool isWithdrawn = successor == aState.mOwner->Node();
  const bool isSuccessor = successor == aState.mSettings.Node();
  Log(aOut,
      "owner.leaving",
      absl::StrCat("epoch ", aLeaving.Epoch()),
      successor.empty() ? "next=rejoin the group now"
                        : absl::StrCat("successor=", successor, " withdrawn=", isWithdrawn));
  handover.mIsSuccessor = isSuccessor;
  handover.mAwaitedUntil = Time::Never();
  if (isWithdrawn) {
    aState.mOwnerLeaving = false;
    if (!aState.mOwnerLostStore) {
      aState.mOwnerReleasedAt = Time::Never();
    }
    return;
  }
  if (!successor.empty()) {
    handover.mAnnouncedAt = aNow;
  }
  if (successor.empty() || isSuccessor) {
    ReleaseOwner(aState, aNow);
  } else {
    handover.mAwaitedUntil = aNow + kSuccessorTimeout;
  }
}

void
ExpireHandover(EntryState& aState, Time aNow, Effects& aOut)
{
  if (aNow < aState.mHandover.mAwaitedUntil) {
    return;
  }
  aState.mHandover.mAwaitedUntil = Time::Never();
  Log(aOut, "owner.successor_missing", aState.mOwner->Node(), "next=any node may claim");
  ReleaseOwner(aState, aNow);
}

void
SendLeaving(const EntryState& aState, const std::string& aNode, Effects& aOut)
{
  EmitToMember(aState, aNode, LeavingMessage(aState, {}), aOut);
}

void
AnnounceLeaving(const EntryState& aState, const std::string& aSuccessor, Effects& aOut)
{
  const auto message = LeavingMessage(aState, aSuccessor);
  for (const auto& [node, member] : aState.mMembers) {
    EmitToMember(aState, node, message, aOut);
  }
}

} // namespace by::detail
