#include "by_scheduling/PolicyFrom.h"

#include "by_core/Findings.h"
#include "by_placement/ResourceMath.h"
#include "by_scheduling/ChooseLane.h"
#include "by_scheduling/EstimateWait.h"
#include "by_scheduling/ReserveForGangs.h"

namespace by {

namespace {

Resources
DeclaredDemand(const RunEstimateTable&, const WorkItem& aItem)
{
  return EffectiveDemandOf(aItem.Resources());
}

std::int64_t
ConstantKey(const TeamRow&, const Resources&)
{
  return 0;
}

void
UseLanes(SchedulingPolicy& aPolicy)
{
  aPolicy.mChooseLane = LaneByLength;
  aPolicy.mEstimateWait = WaitByLane;
  aPolicy.mScheduleGangs = ReserveForGangs;
}

void
UseDeclaredLanes(SchedulingPolicy& aPolicy)
{
  UseLanes(aPolicy);
  aPolicy.mEstimateRunTime = DeclaredLength;
  aPolicy.mEstimateDemand = DeclaredDemand;
}

void
UseSharedQueue(SchedulingPolicy& aPolicy)
{
  aPolicy.mChooseLane = OneLane;
  aPolicy.mEstimateWait = NoEstimate;
  aPolicy.mScheduleGangs = BlockOnFirstGang;
  aPolicy.mEstimateDemand = DeclaredDemand;
  aPolicy.mPreemptionEnabled = false;
  aPolicy.mShortReservePercent = 0;
}

void
UseFifo(SchedulingPolicy& aPolicy)
{
  UseSharedQueue(aPolicy);
  aPolicy.mSchedulingKey = ConstantKey;
  aPolicy.mMaxScannedTeams = 1;
}

bool
UseQueuePolicy(SchedulingPolicy& aPolicy, const std::string& aName)
{
  if (aName == "lanes") {
    UseLanes(aPolicy);
  } else if (aName == "declared_lanes") {
    UseDeclaredLanes(aPolicy);
  } else if (aName == "shared_queue") {
    UseSharedQueue(aPolicy);
  } else if (aName == "fifo") {
    UseFifo(aPolicy);
  } else {
    return false;
  }
  return true;
}

bool
UsePlacementPolicy(SchedulingPolicy& aPolicy, const std::string& aName)
{
  if (aName == "best_fit") {
    aPolicy.mFindVm = BestFit;
  } else if (aName == "first_fit") {
    aPolicy.mFindVm = FirstFit;
  } else {
    return false;
  }
  return true;
}

} // namespace

absl::StatusOr<SchedulingPolicy>
PolicyFrom(const ConfigDocument& aConfig)
{
  SchedulingPolicy policy;
  policy.mShortReservePercent = aConfig.ShortReservePercent();
  policy.mShortLimit = aConfig.ShortLimit();
  policy.mQueueLimit = aConfig.QueueLimit();
  Findings findings;
  if (!UsePlacementPolicy(policy, aConfig.PlacementPolicy())) {
    findings.Add("placement_policy", aConfig.PlacementPolicy() + " is not best_fit or first_fit");
  }
  if (!UseQueuePolicy(policy, aConfig.QueuePolicy())) {
    findings.Add("queue_policy",
                 aConfig.QueuePolicy() + " is not lanes, declared_lanes, shared_queue or fifo");
  }
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  return policy;
}

} // namespace by
