#include "by_ownership/StepOwnership.h"

#include <algorithm>

#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/detail/LeaseRequests.h"
#include "by_ownership/detail/LeaseTables.h"
#include "by_ownership/detail/LogAuthority.h"
#include "by_ownership/detail/RackClaims.h"
#include "by_ownership/detail/RackReleases.h"
#include "by_schema/ClusterSettings.h"
#include "by_schema/LeaseAnswered.h"

namespace by {

namespace {

/// Handles a backend server's refusal of this epoch in favour of a higher one: another node owns
/// the rack, even if this node has not read that from the log yet. The leases of the other servers
/// are renewed until the log shows it.
void
MarkSuperseded(Ownership& aOwnership, LeaseRow& aRow, OwnershipActions& aActions, Time aNow)
{
  const auto rack = aRow.Description().Rack();
  detail::RevokeRackVms(aOwnership, rack, aActions, aNow);
  aRow = aRow.WithRefused(true);
  auto& held = aOwnership.mRacks.at(rack);
  if (held.SupersededAt() == Time()) {
    held = held.WithSupersededAt(aNow);
  }
}

/// Handles a grant from a new server process on the VM: all tasks of the previous process have
/// ended.
void
HandleReplacedServer(LeaseRow& aRow, OwnershipActions& aActions, Time aNow)
{
  const auto vm = aRow.Description().Vm();
  if (!aRow.LeaseExpired()) {
    aActions.mTasksLost.push_back(vm);
  }
  detail::RevokeVm(aRow, aActions, aNow);
}

bool
IsRetained(const Ownership& aOwnership, const LeaseRow& aRow)
{
  const auto& held = aOwnership.mRacks.at(aRow.Description().Rack());
  return held.ReleasingSince() == Time() && held.SupersededAt() == Time();
}

/// Checks that a grant lists all tasks of a VM on which the previous owner can no longer place.
bool
HasCurrentInventory(const Ownership& aOwnership,
                    const LeaseRow& aRow,
                    const LeaseAnswered& aAnswer,
                    Time aNow)
{
  const auto& held = aOwnership.mRacks.at(aRow.Description().Rack());
  return !aRow.Adopted() && aAnswer.SentAt() > aRow.InventoryRequestedAt() &&
         aAnswer.SentAt() >= held.PlaceFrom() && aNow < aRow.GrantedUntil();
}

void
AddTasks(std::vector<AdoptedTask>& aTasks, const LeaseAnswered& aAnswer, bool aEndedOnly)
{
  for (const auto& status : aAnswer.Grant().Tasks()) {
    if (!aEndedOnly || status.State() != TaskState::Running) {
      aTasks.push_back(AdoptedTask::Create({ .mVm = aAnswer.Vm(), .mStatus = status }).value());
    }
  }
}

void
RecordGrant(LeaseRow& aRow,
            const LeaseAnswered& aAnswer,
            const ClusterSettings& aSettings,
            Time aNow)
{
  auto fields = aRow.ToFields();
  fields.mIncarnation = aAnswer.Grant().Incarnation();
  fields.mGrantedAt = aAnswer.SentAt();
  fields.mGrantedUntil = aAnswer.SentAt() + aSettings.LeaseTtl() - aSettings.ClockDrift();
  fields.mLeaseExpired = aRow.LeaseExpired() && aNow >= fields.mGrantedUntil;
  fields.mNextRequest = detail::NextRenewal(aRow.Description().Vm(), aSettings, aNow);
  aRow = LeaseRow::Create(std::move(fields)).value();
}

void
HandleGrant(Ownership& aOwnership,
            LeaseRow& aRow,
            const OwnershipContext& aContext,
            const LeaseAnswered& aAnswer,
            OwnershipActions& aActions,
            Time aNow)
{
  if (aAnswer.SentAt() < aRow.GrantedAt()) {
    return;
  }
  const auto incarnation = aAnswer.Grant().Incarnation();
  if (aRow.Incarnation() != 0 && aRow.Incarnation() != incarnation) {
    HandleReplacedServer(aRow, aActions, aNow);
  }
  RecordGrant(aRow, aAnswer, *aContext.mSettings, aNow);
  if (!IsRetained(aOwnership, aRow)) {
    return;
  }
  if (aRow.Adopted()) {
    AddTasks(aActions.mEnded, aAnswer, true);
    return;
  }
  if (HasCurrentInventory(aOwnership, aRow, aAnswer, aNow)) {
    aRow = aRow.WithAdopted(true);
    aActions.mGained.push_back(aRow.Description());
    AddTasks(aActions.mInventory, aAnswer, false);
    return;
  }
  const auto& held = aOwnership.mRacks.at(aRow.Description().Rack());
  const auto retryAt = std::max(aNow, aRow.InventoryRequestedAt()) + Time::FromMilliseconds(1);
  if (retryAt > held.PlaceFrom()) {
    aRow = aRow.WithNextRequest(retryAt);
  }
}

} // namespace

OwnershipActions
StepOwnership(Ownership& aOwnership, const OwnershipContext& aContext, Time aNow)
{
  OwnershipActions actions;
  if (aOwnership.mStarted == Time()) {
    aOwnership.mStarted = aNow;
  }
  detail::UpdateLogAuthority(aOwnership, aContext);
  detail::SyncRacks(aOwnership, aContext, actions, aNow);
  detail::SyncVms(aOwnership, aContext, actions, aNow);
  detail::ExpireLeases(aOwnership, aContext, actions, aNow);
  detail::ReleaseRacks(aOwnership, aContext, actions, aNow);
  detail::RequestLeases(aOwnership, aContext, actions, aNow);
  detail::ClaimRacks(aOwnership, aContext, actions, aNow);
  detail::ReclaimRacks(aOwnership, aContext, actions, aNow);
  return actions;
}

OwnershipActions
ObserveLease(Ownership& aOwnership,
             const OwnershipContext& aContext,
             const LeaseAnswered& aAnswer,
             Time aNow)
{
  OwnershipActions actions;
  detail::HandleProbeAnswer(aOwnership, aContext, aAnswer, actions, aNow);
  const auto it = aOwnership.mLeases.find(aAnswer.Vm());
  if (it == aOwnership.mLeases.end() || it->second.Epoch() != aAnswer.Epoch()) {
    return actions;
  }
  if (aAnswer.Grant().Granted()) {
    HandleGrant(aOwnership, it->second, aContext, aAnswer, actions, aNow);
  } else if (aAnswer.Grant().Epoch() > aAnswer.Epoch()) {
    MarkSuperseded(aOwnership, it->second, actions, aNow);
  } else {
    return ObserveLeaseFailure(aOwnership, aContext, aAnswer.Vm(), aNow);
  }
  return actions;
}

OwnershipActions
ObserveLeaseFailure(Ownership& aOwnership,
                    const OwnershipContext& aContext,
                    const VmId& aVm,
                    Time aNow)
{
  const auto it = aOwnership.mLeases.find(aVm);
  if (it != aOwnership.mLeases.end()) {
    const auto retry = aNow + aContext.mSettings->LeaseRenewal() / 3;
    it->second = it->second.WithNextRequest(std::min(it->second.NextRequest(), retry));
  }
  return {};
}

OwnershipActions
RefreshInventory(Ownership& aOwnership,
                 const OwnershipContext& aContext,
                 const VmId& aVm,
                 Time aNow)
{
  OwnershipActions actions;
  const auto it = aOwnership.mLeases.find(aVm);
  if (it == aOwnership.mLeases.end() || !it->second.Adopted()) {
    return actions;
  }
  detail::RevokeVm(it->second, actions, aNow);
  if (aNow > it->second.InventoryRequestedAt()) {
    detail::RequestLease(it->second, aContext, actions, aNow);
  }
  return actions;
}

} // namespace by
