#include "by_ownership/Authority.h"

#include <algorithm>

#include "by_ownership/Ownership.h"
#include "by_ownership/detail/OwnershipLimits.h"
#include "by_schema/OwnedVm.h"

namespace by {

namespace {

/// @returns the time until which this node may place on a VM; empty if it may not place now.
std::optional<Time>
AuthorityUntil(const Ownership& aOwnership,
               const VmId& aVm,
               Time aNow,
               const ClusterSettings& aSettings)
{
  const auto it = aOwnership.mLeases.find(aVm);
  if (it == aOwnership.mLeases.end()) {
    return std::nullopt;
  }
  const auto& row = it->second;
  auto until = row.GrantedUntil();
  if (aSettings.Fencing() == Fencing::LeaseTimeout) {
    until = std::min(until, aOwnership.mLogAuthorityUntil);
  }
  const bool live = row.Description().State() == VmState::Live;
  if (!row.Adopted() || !live || aNow >= until) {
    return std::nullopt;
  }
  return until;
}

std::string
VmStatusText(const LeaseRow& aRow, bool aHasAuthority)
{
  if (aRow.Description().State() == VmState::Leaving) {
    return "leaving";
  }
  return aHasAuthority ? "live" : "unleased";
}

} // namespace

std::optional<std::uint64_t>
AuthorityOn(const Ownership& aOwnership,
            const VmId& aVm,
            Time aNow,
            const ClusterSettings& aSettings)
{
  if (!AuthorityUntil(aOwnership, aVm, aNow, aSettings)) {
    return std::nullopt;
  }
  return aOwnership.mLeases.at(aVm).Epoch();
}

Time
StartDeadline(const Ownership& aOwnership,
              const VmId& aVm,
              Time aNow,
              const ClusterSettings& aSettings)
{
  const auto until = AuthorityUntil(aOwnership, aVm, aNow, aSettings).value_or(aNow);
  return std::min(until, aNow + detail::RequestValidity(aSettings));
}

std::uint64_t
ServerIncarnation(const Ownership& aOwnership, const VmId& aVm)
{
  const auto it = aOwnership.mLeases.find(aVm);
  return it == aOwnership.mLeases.end() ? 0 : it->second.Incarnation();
}

std::optional<std::uint64_t>
CommandEpoch(const Ownership& aOwnership, const VmId& aVm, Time aNow)
{
  const auto it = aOwnership.mLeases.find(aVm);
  if (it == aOwnership.mLeases.end() || aNow >= it->second.GrantedUntil()) {
    return std::nullopt;
  }
  return it->second.Epoch();
}

bool
IsRackResolved(const Ownership& aOwnership, const RackId& aRack)
{
  const auto it = aOwnership.mVmsOfRack.find(aRack);
  if (it == aOwnership.mVmsOfRack.end() || !aOwnership.mRacks.contains(aRack)) {
    return false;
  }
  return std::all_of(it->second.begin(), it->second.end(), [&](const VmId& aVm) {
    const auto& row = aOwnership.mLeases.at(aVm);
    return row.Adopted() || row.LeaseExpired();
  });
}

std::vector<OwnedVm>
OwnedVms(const Ownership& aOwnership, Time aNow, const ClusterSettings& aSettings)
{
  std::vector<OwnedVm> vms;
  for (const auto& [vm, row] : aOwnership.mLeases) {
    const bool authority = AuthorityOn(aOwnership, vm, aNow, aSettings).has_value();
    vms.push_back(OwnedVm::Create({ .mVm = vm,
                                    .mRack = row.Description().Rack(),
                                    .mEpoch = authority ? row.Epoch() : 0,
                                    .mLeaseUntil = row.GrantedUntil(),
                                    .mCapacity = row.Description().Capacity(),
                                    .mStatus = VmStatusText(row, authority) })
                    .value());
  }
  return vms;
}

} // namespace by
