#include "by_placement/VmCapacity.h"

#include <algorithm>

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

VmBucketKey
BucketOf(const Resources& aFree)
{
  return { .mAccelerators = aFree.Accelerators(),
           .mSlots = std::min(aFree.Slots(), kMaxSlotBucket) };
}

void
EraseFromAvailable(VmTable& aTable, const VmRow& aRow)
{
  const auto freeCapacity = FreeCapacityOf(aRow);
  const auto it = aTable.mAvailable.find(BucketOf(freeCapacity));
  if (it == aTable.mAvailable.end()) {
    return;
  }
  it->second.mByCpu.erase({ freeCapacity.CpuMillis(), freeCapacity.MemoryMb(), aRow.Vm() });
  it->second.mByMemory.erase({ freeCapacity.MemoryMb(), freeCapacity.CpuMillis(), aRow.Vm() });
  if (it->second.mByCpu.empty()) {
    aTable.mAvailable.erase(it);
  }
}

void
AddToAvailable(VmTable& aTable, const VmRow& aRow)
{
  const auto freeCapacity = FreeCapacityOf(aRow);
  auto& bucket = aTable.mAvailable[BucketOf(freeCapacity)];
  bucket.mByCpu.insert({ freeCapacity.CpuMillis(), freeCapacity.MemoryMb(), aRow.Vm() });
  bucket.mByMemory.insert({ freeCapacity.MemoryMb(), freeCapacity.CpuMillis(), aRow.Vm() });
}

void
Unindex(VmTable& aTable, const VmRow& aRow)
{
  aTable.mCommitted = Minus(aTable.mCommitted, aRow.Committed());
  if (IsAvailable(aRow)) {
    EraseFromAvailable(aTable, aRow);
  }
  if (aRow.QuarantinedUntil() != Time()) {
    aTable.mQuarantined.erase({ aRow.QuarantinedUntil(), aRow.Vm() });
  }
}

void
Index(VmTable& aTable, const VmRow& aRow)
{
  aTable.mCommitted = Plus(aTable.mCommitted, aRow.Committed());
  if (IsAvailable(aRow)) {
    AddToAvailable(aTable, aRow);
  }
  if (aRow.QuarantinedUntil() != Time()) {
    aTable.mQuarantined.emplace(aRow.QuarantinedUntil(), aRow.Vm());
  }
}

/// Removes what follows from a VM's description: its share of the total capacity and its entries in
/// its rack and availability zone.
void
UnindexDescription(VmTable& aTable, const VmRow& aRow)
{
  if (!aRow.Leaving()) {
    aTable.mTotal = Minus(aTable.mTotal, aRow.Capacity());
    if (--aTable.mShapes[aRow.Capacity()] == 0) {
      aTable.mShapes.erase(aRow.Capacity());
    }
  }
  auto& rack = aTable.mByRack[aRow.Rack()];
  rack.erase(aRow.Vm());
  if (rack.empty()) {
    aTable.mByRack.erase(aRow.Rack());
    aTable.mRacksByZone[aRow.Zone()].erase(aRow.Rack());
  }
}

/// Adds a VM's capacity to the totals, and the VM to its rack and availability zone.
void
IndexDescription(VmTable& aTable, const VmRow& aRow)
{
  if (!aRow.Leaving()) {
    aTable.mTotal = Plus(aTable.mTotal, aRow.Capacity());
    ++aTable.mShapes[aRow.Capacity()];
  }
  aTable.mByRack[aRow.Rack()].insert(aRow.Vm());
  aTable.mRacksByZone[aRow.Zone()].insert(aRow.Rack());
}

bool
IsSameDescription(const VmRow& aLeft, const VmRow& aRight)
{
  return aLeft.Capacity() == aRight.Capacity() && aLeft.Leaving() == aRight.Leaving() &&
         aLeft.Rack() == aRight.Rack() && aLeft.Zone() == aRight.Zone();
}

void
CountReplica(VmTable& aTable,
             const VmRow& aRow,
             const std::string& aSpreadGroup,
             std::int64_t aChange)
{
  if (aSpreadGroup.empty()) {
    return;
  }
  auto& counts = aTable.mSpread[aSpreadGroup];
  counts.mByZone[aRow.Zone()] += aChange;
  if ((counts.mByRack[aRow.Rack()] += aChange) <= 0) {
    counts.mByRack.erase(aRow.Rack());
  }
  if (aChange > 0) {
    counts.mLastRack[aRow.Zone()] = aRow.Rack();
  }
  if (counts.mByRack.empty()) {
    aTable.mSpread.erase(aSpreadGroup);
  }
}

} // namespace

Resources
FreeCapacityOf(const VmRow& aRow)
{
  return Minus(Minus(aRow.Capacity(), aRow.Committed()), aRow.Excess());
}

bool
IsAvailable(const VmRow& aRow)
{
  return !aRow.Leaving() && !aRow.Reserved() && aRow.QuarantinedUntil() == Time() &&
         !(aRow.Probing() && aRow.ProbeInFlight()) && aRow.Tasks() < aRow.Connections() &&
         Fits(EffectiveDemandOf(Resources()), FreeCapacityOf(aRow));
}

void
ReplaceVm(VmTable& aTable, VmRow aRow)
{
  const auto it = aTable.mRows.find(aRow.Vm());
  if (it == aTable.mRows.end()) {
    IndexDescription(aTable, aRow);
    Index(aTable, aRow);
    auto name = aRow.Vm();
    aTable.mRows.emplace(std::move(name), std::move(aRow));
    return;
  }
  Unindex(aTable, it->second);
  if (!IsSameDescription(it->second, aRow)) {
    UnindexDescription(aTable, it->second);
    IndexDescription(aTable, aRow);
  }
  Index(aTable, aRow);
  it->second = std::move(aRow);
}

void
EraseVm(VmTable& aTable, const VmId& aVm)
{
  const auto it = aTable.mRows.find(aVm);
  if (it == aTable.mRows.end()) {
    return;
  }
  Unindex(aTable, it->second);
  UnindexDescription(aTable, it->second);
  aTable.mRows.erase(it);
}

void
CommitResources(VmTable& aTable,
                const VmId& aVm,
                const Resources& aDemand,
                const std::string& aSpreadGroup)
{
  auto fields = aTable.mRows.at(aVm).ToFields();
  fields.mCommitted = Plus(fields.mCommitted, aDemand);
  ++fields.mTasks;
  fields.mProbeInFlight = fields.mProbing;
  auto row = VmRow::Create(std::move(fields)).value();
  CountReplica(aTable, row, aSpreadGroup, 1);
  ReplaceVm(aTable, std::move(row));
}

void
ReleaseResources(VmTable& aTable,
                 const VmId& aVm,
                 const Resources& aDemand,
                 const std::string& aSpreadGroup)
{
  const auto it = aTable.mRows.find(aVm);
  if (it == aTable.mRows.end()) {
    return;
  }
  auto fields = it->second.ToFields();
  fields.mCommitted = Minus(fields.mCommitted, aDemand);
  --fields.mTasks;
  fields.mProbeInFlight = false;
  auto row = VmRow::Create(std::move(fields)).value();
  CountReplica(aTable, row, aSpreadGroup, -1);
  ReplaceVm(aTable, std::move(row));
}

} // namespace by
