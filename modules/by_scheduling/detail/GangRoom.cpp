#include "by_scheduling/detail/GangRoom.h"

#include "by_placement/VmRoom.h"
#include "by_scheduling/detail/HoldRoom.h"
#include "by_scheduling/detail/StartWork.h"

namespace by {

namespace {

void
SetHeld(Scheduler& aScheduler, const VmId& aVm, bool aHeld)
{
  const auto it = aScheduler.mVms.mRows.find(aVm);
  if (it != aScheduler.mVms.mRows.end()) {
    aScheduler.mFreedRacks.insert(it->second.Rack());
    ReplaceVm(aScheduler.mVms, it->second.WithReserved(aHeld));
  }
}

/// @returns the rack behind the given one, or the first.
RackId
RackBehind(const VmTable& aVms, const RackId& aRack)
{
  const auto it = aVms.mByRack.upper_bound(aRack);
  return it == aVms.mByRack.end() ? aVms.mByRack.begin()->first : it->first;
}

void
HoldRack(Scheduler& aScheduler, const RackId& aRack, std::size_t aCount)
{
  const auto vms = aScheduler.mVms.mByRack.at(aRack);
  for (const auto& vm : vms) {
    const auto& row = aScheduler.mVms.mRows.at(vm);
    if (aScheduler.mHeldVms.size() < aCount && !row.Leaving() && !row.Reserved() &&
        row.QuarantinedUntil() == Time() && !row.Probing()) {
      aScheduler.mHeldVms.push_back(vm);
      SetHeld(aScheduler, vm, true);
    }
  }
}

} // namespace

void
QueueGang(Scheduler& aScheduler, std::vector<WorkItem> aTasks)
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
UnqueueGang(Scheduler& aScheduler, std::uint64_t aSequence)
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
DropGangOf(Scheduler& aScheduler, const TaskId& aTask)
{
  const auto it = aScheduler.mGangOf.find(aTask);
  if (it == aScheduler.mGangOf.end()) {
    return false;
  }
  const auto gang = UnqueueGang(aScheduler, it->second);
  if (gang.Sequence() == aScheduler.mGathering) {
    GiveGangRoomBack(aScheduler, gang);
  }
  return true;
}

void
HoldVms(Scheduler& aScheduler, std::size_t aCount)
{
  const auto racks = aScheduler.mVms.mByRack.size();
  for (std::size_t i = 0; i < racks && aScheduler.mHeldVms.size() < aCount; ++i) {
    aScheduler.mLastHeldRack = RackBehind(aScheduler.mVms, aScheduler.mLastHeldRack);
    HoldRack(aScheduler, aScheduler.mLastHeldRack, aCount);
  }
}

void
UnholdVms(Scheduler& aScheduler)
{
  for (const auto& vm : aScheduler.mHeldVms) {
    SetHeld(aScheduler, vm, false);
  }
  aScheduler.mHeldVms.clear();
}

void
GiveGangRoomBack(Scheduler& aScheduler, const QueuedGang& aGang)
{
  for (const auto& item : aGang.Tasks()) {
    LetGo(aScheduler, item.Task());
  }
  UnholdVms(aScheduler);
  aScheduler.mGathering = 0;
}

} // namespace by
