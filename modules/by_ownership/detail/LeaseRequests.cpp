#include "by_ownership/detail/LeaseRequests.h"

#include <algorithm>

#include "by_membership/Rendezvous.h"
#include "by_ownership/Ownership.h"
#include "by_ownership/OwnershipContext.h"
#include "by_ownership/detail/LeaseTables.h"
#include "by_ownership/detail/OwnershipLimits.h"

namespace by::detail {

namespace {

/// Checks whether a lease has expired here but may still be valid at the server. No request is sent
/// in that time, because a renewal whose answer is lost would keep tasks alive there.
bool
AwaitsExpiry(const LeaseRow& aRow, Time aNow)
{
  return aRow.Incarnation() != 0 && aNow >= aRow.GrantedUntil() && !aRow.LeaseExpired();
}

} // namespace

Time
NextRenewal(const VmId& aVm, const ClusterSettings& aSettings, Time aNow)
{
  const auto interval = std::max<std::int64_t>(aSettings.LeaseRenewal().Milliseconds(), 1);
  const auto weight = RendezvousWeight(NodeId("renewal"), aVm.Text());
  const auto phase = static_cast<std::int64_t>(weight % static_cast<std::uint64_t>(interval));
  const auto sinceSlot = (aNow.Milliseconds() - phase) % interval;
  const auto next = aNow + Time::FromMilliseconds(interval - sinceSlot);
  const bool tooSoon = next - aNow < aSettings.LeaseRenewal() / 2;
  return tooSoon ? next + aSettings.LeaseRenewal() / 2 : next;
}

void
ExpireLeases(Ownership& aOwnership,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow)
{
  const auto maxHold = MaxLeaseHoldTime(*aContext.mSettings);
  for (auto& [vm, row] : aOwnership.mLeases) {
    if (!AwaitsExpiry(row, aNow)) {
      continue;
    }
    RevokeVm(row, aActions, aNow);
    // A successor may have adopted the lease and its tasks; only the log shows whether it did.
    const auto expiredFrom = row.LastSent() + maxHold;
    if (aNow >= expiredFrom && aContext.mLogReadAt >= expiredFrom) {
      row = row.WithLeaseExpired(true).WithNextRequest(aNow);
      aActions.mTasksLost.push_back(vm);
    }
  }
}

void
RequestLease(LeaseRow& aRow,
             const OwnershipContext& aContext,
             OwnershipActions& aActions,
             Time aNow)
{
  const auto& settings = *aContext.mSettings;
  auto request = LeaseRequest::Create({ .mOwner = aContext.mSelf,
                                        .mEpoch = aRow.Epoch(),
                                        .mTtl = settings.LeaseTtl(),
                                        .mWantInventory = !aRow.Adopted(),
                                        .mNotAfter = aNow + RequestValidity(settings) })
                   .value();
  aActions.mLeases.push_back(SendLease::Create({ .mVm = aRow.Description().Vm(),
                                                 .mEndpoint = aRow.Description().Endpoint(),
                                                 .mRequest = std::move(request) })
                               .value());
  auto fields = aRow.ToFields();
  fields.mLastSent = aNow;
  fields.mNextRequest = aNow + settings.LeaseRenewal();
  aRow = LeaseRow::Create(std::move(fields)).value();
}

void
RequestLeases(Ownership& aOwnership,
              const OwnershipContext& aContext,
              OwnershipActions& aActions,
              Time aNow)
{
  for (auto& [vm, row] : aOwnership.mLeases) {
    if (aNow >= row.NextRequest() && !row.Refused() && !AwaitsExpiry(row, aNow)) {
      RequestLease(row, aContext, aActions, aNow);
    }
  }
}

} // namespace by::detail
