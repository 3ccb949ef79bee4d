#include "by_ownership/detail/RackClaims.h"

#include <algorithm>

#include "by_log_state/ApplyEntry.h"
#include "by_log_state/LogState.h"
#include "by_membership/LiveMembers.h"
#include "by_membership/Membership.h"
#include "by_membership/Observations.h"
#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/detail/Candidates.h"
#include "by_ownership/detail/OwnershipLimits.h"
#include "by_schema/LeaseAnswered.h"

namespace by::detail {

namespace {

/// Checks whether a process was heard from within the suspicion timeout.
bool
IsHeardFrom(const OwnershipContext& aContext, const NodeProcess& aProcess, Time aNow)
{
  if (aProcess.Node() == aContext.mSelf) {
    return aProcess.Incarnation() == aContext.mIncarnation;
  }
  const auto* member = FindMember(*aContext.mMembership, aProcess.Node());
  return member != nullptr && member->Incarnation() == aProcess.Incarnation() &&
         aNow - member->LastHeard() <= aContext.mSettings->SuspectAfter();
}

/// Checks whether an owner that is not heard from must be presumed dead. An owner that still claims
/// racks without being heard from is alive behind a broken link, so it gets a longer timeout. A
/// released rack and a rack of an earlier process of this node have no live owner.
bool
IsPresumedDead(const Ownership& aOwnership,
               const OwnershipContext& aContext,
               const RackOwner& aOwner,
               Time aNow)
{
  if (aOwner.Node().IsEmpty() || aOwner.Node() == aContext.mSelf) {
    return true;
  }
  const auto suspicionTimeout = aContext.mSettings->SuspectAfter();
  const auto* member = FindMember(*aContext.mMembership, aOwner.Node());
  const auto lastHeard = member == nullptr ? Time() : member->LastHeard();
  if (member != nullptr && member->Incarnation() != aOwner.Incarnation() &&
      lastHeard > aOwner.Since()) {
    return true;
  }
  const auto unheardSince = std::max(lastHeard, aOwnership.mStarted);
  const bool claimsUnheard = aOwner.Since() > unheardSince + suspicionTimeout;
  const auto deathTimeout =
    claimsUnheard ? suspicionTimeout * kUnheardOwnerTimeouts : suspicionTimeout;
  return aNow - std::max(unheardSince, aOwner.Since()) > deathTimeout;
}

bool
IsOrphan(const Ownership& aOwnership,
         const OwnershipContext& aContext,
         const RackOwner& aOwner,
         Time aNow)
{
  const auto process =
    NodeProcess::Create({ .mNode = aOwner.Node(), .mIncarnation = aOwner.Incarnation() }).value();
  return !IsHeardFrom(aContext, process, aNow) &&
         IsPresumedDead(aOwnership, aContext, aOwner, aNow);
}

/// Removes pending claims whose outcome the log has shown.
void
RemoveResolvedClaims(Ownership& aOwnership, const OwnershipContext& aContext)
{
  for (auto it = aOwnership.mClaims.begin(); it != aOwnership.mClaims.end();) {
    const auto* owner = OwnerOf(*aContext.mLogState, it->first);
    const auto epoch = owner == nullptr ? 0 : owner->Epoch();
    if (epoch != it->second.PreviousEpoch()) {
      it = aOwnership.mClaims.erase(it);
    } else {
      ++it;
    }
  }
}

void
AppendClaim(PendingClaim& aClaim,
            const OwnershipContext& aContext,
            OwnershipActions& aActions,
            Time aNow)
{
  aClaim = aClaim.WithSent(aNow);
  aActions.mRecords.emplace_back(RackClaim::Create({ .mRack = aClaim.Rack(),
                                                     .mNode = aContext.mSelf,
                                                     .mIncarnation = aContext.mIncarnation,
                                                     .mPreviousEpoch = aClaim.PreviousEpoch() })
                                   .value());
}

/// Sends a lease request under epoch zero to each backend server of a rack. Where there was an
/// owner, such a request grants nothing; an answer shows that the server can be reached.
void
ProbeRack(PendingClaim& aClaim,
          const OwnershipContext& aContext,
          OwnershipActions& aActions,
          Time aNow)
{
  aClaim = aClaim.WithProbed(aNow);
  const auto& membership = *aContext.mMembership;
  const auto request =
    LeaseRequest::Create({ .mOwner = aContext.mSelf,
                           .mTtl = Time::FromMilliseconds(1),
                           .mNotAfter = aNow + RequestValidity(*aContext.mSettings) })
      .value();
  for (const auto& vm : membership.mRacks.at(aClaim.Rack())) {
    const auto& endpoint = membership.mVms.at(vm).Description().Endpoint();
    aActions.mLeases.push_back(
      SendLease::Create({ .mVm = vm, .mEndpoint = endpoint, .mRequest = request }).value());
  }
}

/// Advances the claim of a rack: probes its servers, or appends the claim.
void
AdvanceRackClaim(Ownership& aOwnership,
                 const OwnershipContext& aContext,
                 const RackId& aRack,
                 OwnershipActions& aActions,
                 Time aNow)
{
  const auto* owner = OwnerOf(*aContext.mLogState, aRack);
  const auto epoch = owner == nullptr ? 0 : owner->Epoch();
  const auto newClaim = PendingClaim::Create({ .mRack = aRack, .mPreviousEpoch = epoch }).value();
  auto& claim = aOwnership.mClaims.try_emplace(aRack, newClaim).first->second;
  if (claim.Sent() > Time() && aNow - claim.Sent() < RecordRetryDelay(*aContext.mSettings)) {
    return;
  }
  const bool needsProbe =
    owner != nullptr && !owner->Node().IsEmpty() && aContext.mSettings->Fencing() == Fencing::Epoch;
  if (!needsProbe || claim.Sent() > Time()) {
    AppendClaim(claim, aContext, aActions, aNow);
    return;
  }
  if (claim.Probed() == Time() || aNow - claim.Probed() >= aContext.mSettings->SuspectAfter()) {
    ProbeRack(claim, aContext, aActions, aNow);
  }
}

/// Lists racks that have no owner or whose owner is presumed dead.
std::vector<RackId>
FindOrphans(const Ownership& aOwnership, const OwnershipContext& aContext, Time aNow)
{
  const auto& owners = aContext.mLogState->mOwners;
  std::vector<RackId> orphans;
  for (const auto& rack : aOwnership.mUnclaimed) {
    if (!owners.mRows.contains(rack)) {
      orphans.push_back(rack);
    }
  }
  for (const auto& [process, racks] : owners.mByProcess) {
    if (IsHeardFrom(aContext, process, aNow)) {
      continue;
    }
    for (const auto& rack : racks) {
      if (IsPresumedDead(aOwnership, aContext, owners.mRows.at(rack), aNow)) {
        orphans.push_back(rack);
      }
    }
  }
  return orphans;
}

bool
MayClaim(const Ownership& aOwnership, const OwnershipContext& aContext, Time aNow)
{
  const bool hasObservedPeers = aNow >= aOwnership.mStarted + aContext.mSettings->SuspectAfter();
  return !aContext.mDraining && aContext.mLogFresh && hasObservedPeers;
}

} // namespace

void
ClaimRacks(Ownership& aOwnership,
           const OwnershipContext& aContext,
           OwnershipActions& aActions,
           Time aNow)
{
  RemoveResolvedClaims(aOwnership, aContext);
  if (!MayClaim(aOwnership, aContext, aNow)) {
    return;
  }
  const auto orphans = FindOrphans(aOwnership, aContext, aNow);
  if (orphans.empty()) {
    return;
  }
  const auto candidates = FindCandidates(aContext, Time(), aNow);
  for (const auto& rack : orphans) {
    const bool listed = aContext.mMembership->mRacks.contains(rack);
    if (listed && ChooseOwner(candidates, aContext, rack) == aContext.mSelf) {
      AdvanceRackClaim(aOwnership, aContext, rack, aActions, aNow);
    }
  }
}

void
HandleProbeAnswer(Ownership& aOwnership,
                  const OwnershipContext& aContext,
                  const LeaseAnswered& aAnswer,
                  OwnershipActions& aActions,
                  Time aNow)
{
  const auto* vm = FindVm(*aContext.mMembership, aAnswer.Vm());
  if (vm == nullptr || aAnswer.Epoch() != 0 || !MayClaim(aOwnership, aContext, aNow)) {
    return;
  }
  RemoveResolvedClaims(aOwnership, aContext);
  const auto it = aOwnership.mClaims.find(vm->Rack());
  if (it == aOwnership.mClaims.end() || it->second.Sent() > Time()) {
    return;
  }
  const auto* owner = OwnerOf(*aContext.mLogState, vm->Rack());
  if (owner == nullptr || IsOrphan(aOwnership, aContext, *owner, aNow)) {
    AppendClaim(it->second, aContext, aActions, aNow);
  }
}

void
ReclaimRacks(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow)
{
  if (!MayClaim(aOwnership, aContext, aNow)) {
    return;
  }
  for (const auto& [rack, held] : aOwnership.mRacks) {
    const auto wait = RecordRetryDelay(*aContext.mSettings);
    if (held.SupersededAt() == Time() || aNow - held.SupersededAt() < wait) {
      continue;
    }
    const auto newClaim =
      PendingClaim::Create({ .mRack = rack, .mPreviousEpoch = held.Epoch() }).value();
    auto& claim = aOwnership.mClaims.try_emplace(rack, newClaim).first->second;
    if (claim.Sent() == Time() || aNow - claim.Sent() >= wait) {
      AppendClaim(claim, aContext, aActions, aNow);
    }
  }
}

} // namespace by::detail
