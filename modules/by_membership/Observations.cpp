#include "by_membership/Observations.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

#include "by_membership/Membership.h"
#include "by_schema/Heartbeat.h"
#include "by_schema/VmList.h"

namespace by {

namespace {

/// A lower incarnation is accepted only if the known process has not been heard from for this long.
constexpr Time kStaleIncarnationTimeout = Time::FromSeconds(10);
/// A member stops being steady after a longer gap between heartbeats than this.
constexpr Time kMaxSteadyGap = Time::FromSeconds(2);
/// How long a VM is kept after the list no longer contains it.
constexpr Time kMissingVmRetention = Time::FromSeconds(30);

bool
IsStale(const Member& aKnown, const Heartbeat& aHeartbeat, Time aNow)
{
  if (aHeartbeat.Incarnation() == aKnown.Incarnation()) {
    return aHeartbeat.Sequence() <= aKnown.Sequence();
  }
  return aHeartbeat.Incarnation() < aKnown.Incarnation() &&
         aNow - aKnown.LastHeard() < kStaleIncarnationTimeout;
}

Time
SteadySince(const Member& aKnown, const Heartbeat& aHeartbeat, Time aNow)
{
  const bool steady = aKnown.Incarnation() == aHeartbeat.Incarnation() && aKnown.Ready() &&
                      aNow - aKnown.LastHeard() <= kMaxSteadyGap;
  return steady ? aKnown.SteadySince() : aNow;
}

std::string
RegionOf(const Membership& aMembership, const ZoneId& aZone)
{
  const auto it = aMembership.mRegions.find(aZone);
  return it == aMembership.mRegions.end() ? std::string() : it->second;
}

void
UpdateListedMember(Membership& aMembership, const VmDescription& aVm)
{
  const NodeId node(aVm.Vm().Text());
  auto& member = aMembership.mMembers[node];
  member = member.WithNode(node)
             .WithZone(aVm.Zone())
             .WithRegion(aVm.Region())
             .WithListed(true)
             .WithListState(aVm.State());
}

/// Adds or updates a listed VM.
/// @returns whether the VM is new or changed.
bool
UpdateListedVm(Membership& aMembership, const VmDescription& aVm)
{
  auto row = ListedVm::Create({ .mDescription = aVm, .mListed = true }).value();
  auto& known = aMembership.mVms[aVm.Vm()];
  if (known == row) {
    return false;
  }
  known = std::move(row);
  return true;
}

/// Marks VMs missing from the list as leaving, and removes those missing for too long.
/// @returns whether any VM changed.
bool
UpdateMissingVms(Membership& aMembership, const absl::flat_hash_set<VmId>& aListed, Time aNow)
{
  bool changed = false;
  for (auto it = aMembership.mVms.begin(); it != aMembership.mVms.end();) {
    auto& row = it->second;
    const bool missing = !aListed.contains(it->first);
    if (missing && row.Listed()) {
      row = row.WithListed(false).WithMissingSince(aNow).WithDescription(
        row.Description().WithState(VmState::Leaving));
      changed = true;
    }
    const bool expired = !row.Listed() && aNow - row.MissingSince() >= kMissingVmRetention;
    changed = changed || expired;
    if (expired) {
      aMembership.mVms.erase(it++);
    } else {
      ++it;
    }
  }
  return changed;
}

void
IndexRacks(Membership& aMembership)
{
  aMembership.mRacks.clear();
  for (const auto& [vm, row] : aMembership.mVms) {
    aMembership.mRacks[row.Description().Rack()].push_back(vm);
  }
  for (auto& [rack, vms] : aMembership.mRacks) {
    std::sort(vms.begin(), vms.end());
  }
}

void
ResetListedState(Membership& aMembership)
{
  for (auto& [node, member] : aMembership.mMembers) {
    member = member.WithListed(false).WithListState(VmState::Live);
  }
}

} // namespace

bool
ObserveHeartbeat(Membership& aMembership, const Heartbeat& aHeartbeat, Time aNow)
{
  auto& member = aMembership.mMembers[aHeartbeat.Node()];
  if (member.Incarnation() != 0 && IsStale(member, aHeartbeat, aNow)) {
    return false;
  }
  const auto steadySince = SteadySince(member, aHeartbeat, aNow);
  const auto region = RegionOf(aMembership, aHeartbeat.Zone());
  member = Member::Create({ .mNode = aHeartbeat.Node(),
                            .mIncarnation = aHeartbeat.Incarnation(),
                            .mZone = aHeartbeat.Zone(),
                            .mRegion = region.empty() ? member.Region() : region,
                            .mReady = aHeartbeat.Ready(),
                            .mLeaving = aHeartbeat.Leaving(),
                            .mLastHeard = aNow,
                            .mSteadySince = steadySince,
                            .mSequence = aHeartbeat.Sequence(),
                            .mAppliedOffset = aHeartbeat.AppliedOffset(),
                            .mConfigVersion = aHeartbeat.ConfigVersion(),
                            .mLogReadAge = aHeartbeat.LogReadAge(),
                            .mSummary = aHeartbeat.Summary(),
                            .mListed = member.Listed(),
                            .mListState = member.ListState() })
             .value();
  return true;
}

void
ObserveVmList(Membership& aMembership, const VmList& aList, Time aNow)
{
  ResetListedState(aMembership);
  absl::flat_hash_set<VmId> listed;
  bool changed = false;
  for (const auto& vm : aList.Vms()) {
    aMembership.mRegions[vm.Zone()] = vm.Region();
    if (vm.Role() == VmRole::EntryNode) {
      UpdateListedMember(aMembership, vm);
      continue;
    }
    listed.insert(vm.Vm());
    changed = UpdateListedVm(aMembership, vm) || changed;
  }
  changed = UpdateMissingVms(aMembership, listed, aNow) || changed;
  if (changed) {
    IndexRacks(aMembership);
    aMembership.mVmsVersion += 1;
  }
}

const VmDescription*
FindVm(const Membership& aMembership, const VmId& aVm)
{
  const auto it = aMembership.mVms.find(aVm);
  return it == aMembership.mVms.end() ? nullptr : &it->second.Description();
}

} // namespace by
