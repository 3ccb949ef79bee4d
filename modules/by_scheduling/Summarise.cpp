#include "by_scheduling/Summarise.h"

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

/// @returns for each kind of resource the largest free amount on any available VM.
Resources
LargestFree(const VmTable& aVms)
{
  Resources largest;
  for (const auto& [key, bucket] : aVms.mAvailable) {
    largest = LargerOf(largest,
                       Resources::Create({ .mCpuMillis = bucket.mByCpu.rbegin()->mFirst,
                                           .mMemoryMb = bucket.mByMemory.rbegin()->mFirst,
                                           .mAccelerators = key.mAccelerators,
                                           .mSlots = key.mSlots })
                         .value());
  }
  return largest;
}

} // namespace

CapacitySummary
Summarise(const Scheduler& aScheduler)
{
  const auto& vms = aScheduler.mVms;
  return CapacitySummary::Create(
           { .mFree = LargerOf(Minus(vms.mTotal, vms.mCommitted), Resources()),
             .mLargest = LargestFree(vms),
             .mQueued = static_cast<std::int64_t>(aScheduler.mQueue.mRows.size()),
             .mRacks = static_cast<std::int64_t>(vms.mByRack.size()) })
    .value();
}

} // namespace by
