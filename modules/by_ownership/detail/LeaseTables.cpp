#include "by_ownership/detail/LeaseTables.h"

#include <algorithm>

#include "by_log_state/LogState.h"
#include "by_membership/Membership.h"
#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_schema/ClusterSettings.h"

namespace by::detail {

namespace {

bool
IsOwnedHere(const RackOwner& aOwner, const OwnershipContext& aContext)
{
  return aOwner.Node() == aContext.mSelf && aOwner.Incarnation() == aContext.mIncarnation;
}

/// Determines when this node may first place in a rack that it has just acquired. With lease
/// timeouts, the previous owner may place until its authority has ended, unless it released the
/// rack.
/// @returns the time; zero if there is nothing to wait for.
Time
PlaceFrom(const RackOwner& aOwner, const ClusterSettings& aSettings, Time aNow)
{
  const bool waits = aSettings.Fencing() == Fencing::LeaseTimeout && !aOwner.Released();
  return waits ? aNow + aSettings.LeaseTtl() + aSettings.ClockDrift() : Time();
}

void
RemoveVm(Ownership& aOwnership, const VmId& aVm, OwnershipActions& aActions, Time aNow)
{
  const auto it = aOwnership.mLeases.find(aVm);
  RevokeVm(it->second, aActions, aNow);
  aOwnership.mVmsOfRack[it->second.Description().Rack()].erase(aVm);
  aOwnership.mLeases.erase(it);
}

void
RemoveRack(Ownership& aOwnership, const RackId& aRack, OwnershipActions& aActions, Time aNow)
{
  const auto vms = aOwnership.mVmsOfRack[aRack];
  for (const auto& vm : vms) {
    RemoveVm(aOwnership, vm, aActions, aNow);
  }
  aOwnership.mVmsOfRack.erase(aRack);
  aOwnership.mRacks.erase(aRack);
}

void
AddVm(Ownership& aOwnership, const VmDescription& aVm, std::uint64_t aEpoch, Time aNow)
{
  const auto before = aNow - Time::FromMilliseconds(1);
  aOwnership.mVmsOfRack[aVm.Rack()].insert(aVm.Vm());
  aOwnership.mLeases[aVm.Vm()] = LeaseRow::Create({ .mDescription = aVm,
                                                    .mEpoch = aEpoch,
                                                    .mInventoryRequestedAt = before,
                                                    .mNextRequest = aNow })
                                   .value();
}

/// Adds the rack's listed VMs and reports those whose description has changed.
void
SyncRackVms(Ownership& aOwnership,
            const Membership& aMembership,
            const HeldRack& aRack,
            OwnershipActions& aActions,
            Time aNow)
{
  const auto listed = aMembership.mRacks.find(aRack.Rack());
  if (listed == aMembership.mRacks.end()) {
    return;
  }
  for (const auto& vm : listed->second) {
    const auto& description = aMembership.mVms.at(vm).Description();
    const auto it = aOwnership.mLeases.find(vm);
    if (it == aOwnership.mLeases.end()) {
      AddVm(aOwnership, description, aRack.Epoch(), aNow);
      continue;
    }
    if (it->second.Description() == description) {
      continue;
    }
    it->second = it->second.WithDescription(description);
    if (it->second.Adopted()) {
      aActions.mChanged.push_back(description);
    }
  }
}

/// Removes VMs that have moved to another rack, and unlisted VMs whose leases have expired. A VM
/// that still answers is kept because the VM list may be out of date.
void
RemoveUnlisted(Ownership& aOwnership,
               const Membership& aMembership,
               OwnershipActions& aActions,
               Time aNow)
{
  std::vector<VmId> removed;
  for (auto& [vm, row] : aOwnership.mLeases) {
    const auto it = aMembership.mVms.find(vm);
    const bool listed = it != aMembership.mVms.end();
    const bool moved = listed && it->second.Description().Rack() != row.Description().Rack();
    if (moved || (!listed && (row.Incarnation() == 0 || row.LeaseExpired()))) {
      removed.push_back(vm);
    } else if (!listed && row.Description().State() != VmState::Leaving) {
      row = row.WithDescription(row.Description().WithState(VmState::Leaving));
      aActions.mChanged.push_back(row.Description());
    }
  }
  for (const auto& vm : removed) {
    RemoveVm(aOwnership, vm, aActions, aNow);
  }
}

void
UpdateUnclaimed(Ownership& aOwnership, const OwnershipContext& aContext)
{
  aOwnership.mUnclaimed.clear();
  for (const auto& [rack, vms] : aContext.mMembership->mRacks) {
    if (!aContext.mLogState->mOwners.mRows.contains(rack)) {
      aOwnership.mUnclaimed.insert(rack);
    }
  }
}

} // namespace

LeaseRow
PendingAdoption(const LeaseRow& aRow, Time aNow)
{
  const auto before = aNow - Time::FromMilliseconds(1);
  return aRow.WithAdopted(false).WithInventoryRequestedAt(std::max(before, aRow.LastSent()));
}

void
RevokeVm(LeaseRow& aRow, OwnershipActions& aActions, Time aNow)
{
  if (aRow.Adopted()) {
    aActions.mLost.push_back(aRow.Description().Vm());
    aRow = PendingAdoption(aRow, aNow);
  }
}

void
RevokeRackVms(Ownership& aOwnership, const RackId& aRack, OwnershipActions& aActions, Time aNow)
{
  for (const auto& vm : aOwnership.mVmsOfRack[aRack]) {
    RevokeVm(aOwnership.mLeases.at(vm), aActions, aNow);
  }
}

void
SyncRacks(Ownership& aOwnership,
          const OwnershipContext& aContext,
          OwnershipActions& aActions,
          Time aNow)
{
  const auto& owners = aContext.mLogState->mOwners;
  std::vector<RackId> removed;
  for (const auto& [rack, held] : aOwnership.mRacks) {
    const auto it = owners.mRows.find(rack);
    if (it == owners.mRows.end() || !IsOwnedHere(it->second, aContext) ||
        it->second.Epoch() != held.Epoch()) {
      removed.push_back(rack);
    }
  }
  for (const auto& rack : removed) {
    RemoveRack(aOwnership, rack, aActions, aNow);
  }
  const auto self =
    NodeProcess::Create({ .mNode = aContext.mSelf, .mIncarnation = aContext.mIncarnation }).value();
  const auto owned = owners.mByProcess.find(self);
  if (owned == owners.mByProcess.end()) {
    return;
  }
  for (const auto& rack : owned->second) {
    const auto& owner = owners.mRows.at(rack);
    if (aOwnership.mRacks.contains(rack)) {
      continue;
    }
    const auto held =
      HeldRack::Create({ .mRack = rack,
                         .mEpoch = owner.Epoch(),
                         .mSince = aNow,
                         .mPlaceFrom = PlaceFrom(owner, *aContext.mSettings, aNow) })
        .value();
    aOwnership.mRacks.emplace(rack, held);
    SyncRackVms(aOwnership, *aContext.mMembership, held, aActions, aNow);
  }
}

void
SyncVms(Ownership& aOwnership,
        const OwnershipContext& aContext,
        OwnershipActions& aActions,
        Time aNow)
{
  const auto& membership = *aContext.mMembership;
  if (aOwnership.mVmsVersion != membership.mVmsVersion) {
    aOwnership.mVmsVersion = membership.mVmsVersion;
    UpdateUnclaimed(aOwnership, aContext);
    for (const auto& [rack, held] : aOwnership.mRacks) {
      SyncRackVms(aOwnership, membership, held, aActions, aNow);
    }
  }
  RemoveUnlisted(aOwnership, membership, aActions, aNow);
}

} // namespace by::detail
