#include "by_placement/FindVm.h"

#include <algorithm>
#include <compare>
#include <vector>

#include "by_placement/ResourceMath.h"
#include "by_placement/VmCapacity.h"

namespace by {

namespace {

/// Maximum number of VMs that are examined in one order of a bucket before the other order is
/// tried.
constexpr int kMaxProbes = 16;
/// Maximum number of racks in an availability zone that are searched for a replica of a service.
constexpr int kMaxRacks = 16;

/// The free capacity that a VM would have left. Less is better.
struct Leftover
{
  std::int64_t mAccelerators{ 0 };
  std::int64_t mScarce{ 0 };
  std::int64_t mOther{ 0 };

  friend auto operator<=>(const Leftover&, const Leftover&) = default;
};

struct Candidate
{
  Leftover mLeftover;
  VmId mVm;
};

bool
CpuIsScarcer(const VmTable& aTable)
{
  return aTable.mCommitted.CpuMillis() * std::max<std::int64_t>(aTable.mTotal.MemoryMb(), 1) >=
         aTable.mCommitted.MemoryMb() * std::max<std::int64_t>(aTable.mTotal.CpuMillis(), 1);
}

Leftover
LeftoverOn(const VmRow& aRow, const Resources& aDemand, bool aCpuFirst)
{
  const auto rest = Minus(FreeCapacityOf(aRow), aDemand);
  return { .mAccelerators = rest.Accelerators(),
           .mScarce = aCpuFirst ? rest.CpuMillis() : rest.MemoryMb(),
           .mOther = aCpuFirst ? rest.MemoryMb() : rest.CpuMillis() };
}

/// Replaces aBest if this VM would have less capacity left over.
void
KeepBetter(std::optional<Candidate>& aBest,
           const VmRow& aRow,
           const Resources& aDemand,
           bool aCpuFirst)
{
  const auto leftover = LeftoverOn(aRow, aDemand, aCpuFirst);
  if (!aBest || leftover < aBest->mLeftover) {
    aBest = Candidate{ .mLeftover = leftover, .mVm = aRow.Vm() };
  }
}

/// @returns the first VM in one order that fits, among at most kMaxProbes; nullptr if none does.
const FreeCapacityEntry*
FirstInOrder(const absl::btree_set<FreeCapacityEntry>& aOrder,
             std::int64_t aFirst,
             std::int64_t aSecond)
{
  int probes = 0;
  for (auto it = aOrder.lower_bound({ aFirst, aSecond, VmId() });
       it != aOrder.end() && probes < kMaxProbes;
       ++it, ++probes) {
    if (it->mSecond >= aSecond) {
      return &*it;
    }
  }
  return nullptr;
}

/// @returns whether the largest free amounts in the bucket suffice. They may belong to different
/// VMs.
bool
MayFit(const VmBucket& aBucket, const Resources& aDemand)
{
  return aBucket.mByCpu.rbegin()->mFirst >= aDemand.CpuMillis() &&
         aBucket.mByMemory.rbegin()->mFirst >= aDemand.MemoryMb();
}

std::optional<Candidate>
FirstInBucket(const VmBucket& aBucket,
              std::int64_t aAcceleratorsLeft,
              const Resources& aDemand,
              bool aCpuFirst)
{
  const auto cpu = aDemand.CpuMillis();
  const auto memory = aDemand.MemoryMb();
  const FreeCapacityEntry* entry = nullptr;
  bool byCpu = aCpuFirst;
  for (int order = 0; order < 2 && entry == nullptr; ++order) {
    byCpu = (order == 0) == aCpuFirst;
    entry = byCpu ? FirstInOrder(aBucket.mByCpu, cpu, memory)
                  : FirstInOrder(aBucket.mByMemory, memory, cpu);
  }
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto cpuLeft = (byCpu ? entry->mFirst : entry->mSecond) - cpu;
  const auto memoryLeft = (byCpu ? entry->mSecond : entry->mFirst) - memory;
  return Candidate{ .mLeftover = { .mAccelerators = aAcceleratorsLeft,
                                   .mScarce = aCpuFirst ? cpuLeft : memoryLeft,
                                   .mOther = aCpuFirst ? memoryLeft : cpuLeft },
                    .mVm = entry->mVm };
}

std::optional<Candidate>
BestAnywhere(const VmTable& aTable, const Resources& aDemand)
{
  const bool cpuFirst = CpuIsScarcer(aTable);
  std::optional<Candidate> best;
  const VmBucketKey lowest{ .mAccelerators = aDemand.Accelerators(), .mSlots = 0 };
  const auto slots = std::min(aDemand.Slots(), kMaxSlotBucket);
  for (auto it = aTable.mAvailable.lower_bound(lowest); it != aTable.mAvailable.end(); ++it) {
    const auto acceleratorsLeft = it->first.mAccelerators - aDemand.Accelerators();
    if (best && acceleratorsLeft > best->mLeftover.mAccelerators) {
      break;
    }
    if (it->first.mSlots < slots || !MayFit(it->second, aDemand)) {
      continue;
    }
    auto found = FirstInBucket(it->second, acceleratorsLeft, aDemand, cpuFirst);
    if (found && (!best || found->mLeftover < best->mLeftover) &&
        Fits(aDemand, FreeCapacityOf(aTable.mRows.at(found->mVm)))) {
      best = std::move(found);
    }
  }
  return best;
}

std::optional<Candidate>
BestInRack(const VmTable& aTable, const RackId& aRack, const Resources& aDemand)
{
  const auto it = aTable.mByRack.find(aRack);
  if (it == aTable.mByRack.end()) {
    return std::nullopt;
  }
  const bool cpuFirst = CpuIsScarcer(aTable);
  std::optional<Candidate> best;
  for (const auto& vm : it->second) {
    const auto& row = aTable.mRows.at(vm);
    if (IsAvailable(row) && Fits(aDemand, FreeCapacityOf(row))) {
      KeepBetter(best, row, aDemand, cpuFirst);
    }
  }
  return best;
}

template<class Key>
std::int64_t
CountAt(const absl::btree_map<Key, std::int64_t>& aCounts, const Key& aKey)
{
  const auto it = aCounts.find(aKey);
  return it == aCounts.end() ? 0 : it->second;
}

/// @returns up to kMaxRacks racks of the zone, starting after the one used last, sorted by their
/// number of replicas.
std::vector<RackId>
RacksToTry(const absl::btree_set<RackId>& aRacks, const SpreadCounts& aCounts, const ZoneId& aZone)
{
  std::vector<RackId> racks;
  const auto last = aCounts.mLastRack.find(aZone);
  auto it = last == aCounts.mLastRack.end() ? aRacks.begin() : aRacks.upper_bound(last->second);
  const auto most = std::min<std::size_t>(kMaxRacks, aRacks.size());
  while (racks.size() < most) {
    it = it == aRacks.end() ? aRacks.begin() : it;
    racks.push_back(*it);
    ++it;
  }
  std::stable_sort(racks.begin(), racks.end(), [&](const RackId& aLeft, const RackId& aRight) {
    return CountAt(aCounts.mByRack, aLeft) < CountAt(aCounts.mByRack, aRight);
  });
  return racks;
}

std::vector<ZoneId>
ZonesByReplicas(const VmTable& aTable, const SpreadCounts& aCounts)
{
  std::vector<ZoneId> zones;
  for (const auto& [zone, racks] : aTable.mRacksByZone) {
    zones.push_back(zone);
  }
  std::stable_sort(zones.begin(), zones.end(), [&](const ZoneId& aLeft, const ZoneId& aRight) {
    return CountAt(aCounts.mByZone, aLeft) < CountAt(aCounts.mByZone, aRight);
  });
  return zones;
}

std::optional<Candidate>
BestSpread(const VmTable& aTable, const PlacementRequest& aRequest)
{
  static const SpreadCounts kNone;
  const auto found = aTable.mSpread.find(aRequest.mSpreadGroup);
  const auto& counts = found == aTable.mSpread.end() ? kNone : found->second;
  for (const auto& zone : ZonesByReplicas(aTable, counts)) {
    for (const auto& rack : RacksToTry(aTable.mRacksByZone.at(zone), counts, zone)) {
      if (auto best = BestInRack(aTable, rack, aRequest.mDemand)) {
        return best;
      }
    }
  }
  return BestAnywhere(aTable, aRequest.mDemand);
}

std::optional<Candidate>
BestOf(const VmTable& aTable, const PlacementRequest& aRequest)
{
  if (!aRequest.mRack.IsEmpty()) {
    return BestInRack(aTable, aRequest.mRack, aRequest.mDemand);
  }
  if (!aRequest.mSpreadGroup.empty()) {
    return BestSpread(aTable, aRequest);
  }
  return BestAnywhere(aTable, aRequest.mDemand);
}

} // namespace

std::optional<VmId>
BestFit(const VmTable& aTable, const PlacementRequest& aRequest)
{
  const auto best = BestOf(aTable, aRequest);
  return best ? std::optional(best->mVm) : std::nullopt;
}

std::optional<VmId>
FirstFit(const VmTable& aTable, const PlacementRequest& aRequest)
{
  for (const auto& [rack, vms] : aTable.mByRack) {
    if (!aRequest.mRack.IsEmpty() && rack != aRequest.mRack) {
      continue;
    }
    for (const auto& vm : vms) {
      const auto& row = aTable.mRows.at(vm);
      if (IsAvailable(row) && Fits(aRequest.mDemand, FreeCapacityOf(row))) {
        return vm;
      }
    }
  }
  return std::nullopt;
}

} // namespace by
