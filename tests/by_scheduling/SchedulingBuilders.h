#pragma once

#include <string>

#include "by_scheduling/by_scheduling.h"

namespace by {

/// A VM with 16 cores, 32 GB of memory and 8 slots.
inline VmDescription
SmallVm(int aIndex, const std::string& aRack = "rack-0", const std::string& aZone = "zone-0")
{
  return VmDescription::Create(
           { .mVm = VmId("vm-" + std::to_string(aIndex)),
             .mRack = RackId(aRack),
             .mZone = ZoneId(aZone),
             .mCapacity =
               Resources::Create({ .mCpuMillis = 16'000, .mMemoryMb = 32'768, .mSlots = 8 })
                 .value(),
             .mConnections = 64 })
    .value();
}

/// A request for aCores cores and aGb GB of memory that must have started by second 10.
inline WorkItem
Work(const std::string& aTask, const std::string& aTeam, int aCores, int aGb = 1)
{
  return WorkItem::Create(
           { .mTask = TaskId(aTask),
             .mTeam = TeamId(aTeam),
             .mKind = "kind",
             .mResources =
               Resources::Create({ .mCpuMillis = aCores * 1000, .mMemoryMb = aGb * 1024 }).value(),
             .mStartBy = Time::FromSeconds(10) })
    .value();
}

/// The policy with the given names in its configuration.
inline SchedulingPolicy
PolicyNamed(const std::string& aQueue = "lanes", const std::string& aPlacement = "best_fit")
{
  return PolicyFrom(
           ConfigDocument::Create({ .mPlacementPolicy = aPlacement, .mQueuePolicy = aQueue })
             .value())
    .value();
}

} // namespace by
