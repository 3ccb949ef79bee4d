#include "by_placement/VmRoom.h"

#include <algorithm>

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

VmBucketKey
BucketOf(const Resources& aFree)
{
  return { .mAccelerators = aFree.Accelerators(),
           .mSlots = std::min(aFree.Slots(), kMostSlotBuckets) };
}

void
EraseFromOpen(VmTable& aTable, const VmRow& aRow)
{
  const auto room = FreeOf(aRow);
  const auto it = aTable.mOpen.find(BucketOf(room));
  if (it == aTable.mOpen.end()) {
    return;
  }
  it->second.mByCpu.erase({ room.CpuMillis(), room.MemoryMb(), aRow.Vm() });
  it->second.mByMemory.erase({ room.MemoryMb(), room.CpuMillis(), aRow.Vm() });
  if (it->second.mByCpu.empty()) {
    aTable.mOpen.erase(it);
  }
}

void
AddToOpen(VmTable& aTable, const VmRow& aRow)
{
  const auto room = FreeOf(aRow);
  auto& bucket = aTable.mOpen[BucketOf(room)];
  bucket.mByCpu.insert({ room.CpuMillis(), room.MemoryMb(), aRow.Vm() });
  bucket.mByMemory.insert({ room.MemoryMb(), room.CpuMillis(), aRow.Vm() });
}

void
Unindex(VmTable& aTable, const VmRow& aRow)
{
  aTable.mCommitted = Minus(aTable.mCommitted, aRow.Committed());
  if (IsOpen(aRow)) {
    EraseFromOpen(aTable, aRow);
  }
  if (aRow.QuarantinedUntil() != Time()) {
    aTable.mSetAside.erase({ aRow.QuarantinedUntil(), aRow.Vm() });
  }
}

void
Index(VmTable& aTable, const VmRow& aRow)
{
  aTable.mCommitted = Plus(aTable.mCommitted, aRow.Committed());
  if (IsOpen(aRow)) {
    AddToOpen(aTable, aRow);
  }
  if (aRow.QuarantinedUntil() != Time()) {
    aTable.mSetAside.emplace(aRow.QuarantinedUntil(), aRow.Vm());
  }
}

void
RemoveShape(VmTable& aTable, const VmRow& aRow)
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

void
AddShape(VmTable& aTable, const VmRow& aRow)
{
  if (!aRow.Leaving()) {
    aTable.mTotal = Plus(aTable.mTotal, aRow.Capacity());
    ++aTable.mShapes[aRow.Capacity()];
  }
  aTable.mByRack[aRow.Rack()].insert(aRow.Vm());
  aTable.mRacksByZone[aRow.Zone()].insert(aRow.Rack());
}

bool
SameShape(const VmRow& aLeft, const VmRow& aRight)
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
FreeOf(const VmRow& aRow)
{
  return Minus(Minus(aRow.Capacity(), aRow.Committed()), aRow.Excess());
}

bool
IsOpen(const VmRow& aRow)
{
  return !aRow.Leaving() && !aRow.Reserved() && aRow.QuarantinedUntil() == Time() &&
         !(aRow.Probing() && aRow.ProbeInFlight()) && aRow.Tasks() < aRow.Connections() &&
         Fits(TakenBy(Resources()), FreeOf(aRow));
}

void
ReplaceVm(VmTable& aTable, VmRow aRow)
{
  const auto it = aTable.mRows.find(aRow.Vm());
  if (it == aTable.mRows.end()) {
    AddShape(aTable, aRow);
    Index(aTable, aRow);
    auto name = aRow.Vm();
    aTable.mRows.emplace(std::move(name), std::move(aRow));
    return;
  }
  Unindex(aTable, it->second);
  if (!SameShape(it->second, aRow)) {
    RemoveShape(aTable, it->second);
    AddShape(aTable, aRow);
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
  RemoveShape(aTable, it->second);
  aTable.mRows.erase(it);
}

void
CommitRoom(VmTable& aTable,
           const VmId& aVm,
           const Resources& aTaken,
           const std::string& aSpreadGroup)
{
  auto fields = aTable.mRows.at(aVm).ToFields();
  fields.mCommitted = Plus(fields.mCommitted, aTaken);
  ++fields.mTasks;
  fields.mProbeInFlight = fields.mProbing;
  auto row = VmRow::Create(std::move(fields)).value();
  CountReplica(aTable, row, aSpreadGroup, 1);
  ReplaceVm(aTable, std::move(row));
}

void
ReleaseRoom(VmTable& aTable,
            const VmId& aVm,
            const Resources& aTaken,
            const std::string& aSpreadGroup)
{
  const auto it = aTable.mRows.find(aVm);
  if (it == aTable.mRows.end()) {
    return;
  }
  auto fields = it->second.ToFields();
  fields.mCommitted = Minus(fields.mCommitted, aTaken);
  --fields.mTasks;
  fields.mProbeInFlight = false;
  auto row = VmRow::Create(std::move(fields)).value();
  CountReplica(aTable, row, aSpreadGroup, -1);
  ReplaceVm(aTable, std::move(row));
}

} // namespace by
