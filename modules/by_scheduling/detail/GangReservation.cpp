#include "by_scheduling/detail/GangReservation.h"

#include "by_placement/VmCapacity.h"
#include "by_scheduling/detail/StartWork.h"
#include "by_scheduling/detail/TaskReservation.h"

namespace by {

namespace {

void
SetReserved(Scheduler& aScheduler, const VmId& aVm, bool aReserved)
{
  const auto it = aScheduler.mVms.mRows.find(aVm);
  if (it != aScheduler.mVms.mRows.end()) {
    aScheduler.mFreedRacks.insert(it->second.Rack());
    ReplaceVm(aScheduler.mVms, it->second.WithReserved(aReserved));
  }
}

/// @returns the rack after the given one, or the first if there is none.
RackId
NextRack(const VmTable& aVms, const RackId& aRack)
{
  const auto it = aVms.mByRack.upper_bound(aRack);
  return it == aVms.mByRack.end() ? aVms.mByRack.begin()->first : it->first;
}

void
ReserveRackVms(Scheduler& aScheduler, const RackId& aRack, std::size_t aCount)
{
  const auto vms = aScheduler.mVms.mByRack.at(aRack);
  for (const auto& vm : vms) {
    const auto& row = aScheduler.mVms.mRows.at(vm);
    if (aScheduler.mReservedVms.size() < aCount && !row.Leaving() && !row.Reserved() &&
        row.QuarantinedUntil() == Time() && !row.Probing()) {
      aScheduler.mReservedVms.push_back(vm);
      SetReserved(aScheduler, vm, true);
    }
  }
}

} // namespace

void
EnqueueGang(Scheduler& aScheduler, std::vector<WorkItem> aTasks)
{
  const auto sequence = aScheduler.mQueue.mNextSequence++;
  for (const auto& item : aTasks) {
    aScheduler.mGangOf.emplace(item.Task(), sequence);
  }
  aScheduler.mQueue.mByStartBy.emplace(StartByOf(aTasks.front()), aTasks.front().Task());
  aScheduler.mGangs.emplace(
    sequence, QueuedGang::Create({ .mTasks = std::move(aTasks), .mSequence = sequence }).value());
}

QueuedGang
DequeueGang(Scheduler& aScheduler, std::uint64_t aSequence)
{
  const auto it = aScheduler.mGangs.find(aSequence);
  auto gang = std::move(it->second);
  aScheduler.mGangs.erase(it);
  for (const auto& item : gang.Tasks()) {
    aScheduler.mGangOf.erase(item.Task());
  }
  const auto& first = gang.Tasks().front();
  aScheduler.mQueue.mByStartBy.erase({ StartByOf(first), first.Task() });
  return gang;
}

bool
RemoveGangOf(Scheduler& aScheduler, const TaskId& aTask)
{
  const auto it = aScheduler.mGangOf.find(aTask);
  if (it == aScheduler.mGangOf.end()) {
    return false;
  }
  const auto gang = DequeueGang(aScheduler, it->second);
  if (gang.Sequence() == aScheduler.mReservingGang) {
    ReleaseGangResources(aScheduler, gang);
  }
  return true;
}

void
ReserveVms(Scheduler& aScheduler, std::size_t aCount)
{
  const auto racks = aScheduler.mVms.mByRack.size();
  for (std::size_t i = 0; i < racks && aScheduler.mReservedVms.size() < aCount; ++i) {
    aScheduler.mLastReservedRack = NextRack(aScheduler.mVms, aScheduler.mLastReservedRack);
    ReserveRackVms(aScheduler, aScheduler.mLastReservedRack, aCount);
  }
}

void
UnreserveVms(Scheduler& aScheduler)
{
  for (const auto& vm : aScheduler.mReservedVms) {
    SetReserved(aScheduler, vm, false);
  }
  aScheduler.mReservedVms.clear();
}

void
ReleaseGangResources(Scheduler& aScheduler, const QueuedGang& aGang)
{
  for (const auto& item : aGang.Tasks()) {
    ReleaseTask(aScheduler, item.Task());
  }
  UnreserveVms(aScheduler);
  aScheduler.mReservingGang = 0;
}

} // namespace by
