#include "by_intents/StepController.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "absl/container/btree_set.h"

#include "by_intents/IntentLimits.h"
#include "by_intents/detail/ControllerStep.h"
#include "by_intents/detail/DesignatedWriter.h"
#include "by_intents/detail/ResourceArithmetic.h"

namespace by {

namespace {

void
RefreshRackCapacities(IntentController& aController, const IntentContext& aContext)
{
  if (aContext.mVmsVersion != 0 && aContext.mVmsVersion == aController.mRackCapacitiesVersion) {
    return;
  }
  aController.mRackCapacities.clear();
  aController.mRackCapacitiesVersion = aContext.mVmsVersion;
  if (aContext.mVms == nullptr) {
    return;
  }
  for (const auto& vm : *aContext.mVms) {
    if (vm.Role() == VmRole::BackendServer && vm.State() == VmState::Live) {
      auto& capacity = aController.mRackCapacities[vm.Rack()];
      capacity.mZone = vm.Zone();
      capacity.mCapacity = detail::Add(capacity.mCapacity, vm.Capacity());
      capacity.mVms.push_back(vm.Capacity());
    }
  }
}

/// @returns the free capacity of the racks that have a live owner.
detail::RackFreeCapacity
ComputeFreeCapacity(const IntentController& aController,
                    const IntentTable& aTable,
                    const IntentContext& aContext)
{
  detail::RackFreeCapacity freeCapacity;
  if (aContext.mOwners == nullptr) {
    return freeCapacity;
  }
  const auto& live = aContext.mLive;
  for (const auto& owner : *aContext.mOwners) {
    const auto capacity = aController.mRackCapacities.find(owner.Rack());
    const bool isLive = std::find(live.begin(), live.end(), owner.Node()) != live.end();
    if (capacity == aController.mRackCapacities.end() || !isLive) {
      continue;
    }
    const auto load = aTable.mRacks.find(owner.Rack());
    const auto committed = load == aTable.mRacks.end() ? Resources() : load->second.mCommitted;
    freeCapacity.emplace(owner.Rack(), detail::Subtract(capacity->second.mCapacity, committed));
  }
  return freeCapacity;
}

/// Processes open intents, starting where the last step ended.
void
AdvanceOpenIntents(detail::ControllerStep& aStep,
                   const absl::btree_set<IntentId>& aOpen,
                   IntentId& aNext)
{
  const auto visits = std::min(aOpen.size(), kMaxIntentsPerStep);
  auto it = aOpen.lower_bound(aNext);
  for (std::size_t n = 0; n < visits; ++n, ++it) {
    if (it == aOpen.end()) {
      it = aOpen.begin();
    }
    if (detail::DesignatedWriter(*it, aStep.mContext.mLive) == aStep.mContext.mSelf) {
      detail::AdvanceIntent(aStep, aStep.mTable.mIntents.at(*it));
    }
  }
  aNext = it == aOpen.end() ? IntentId() : *it;
}

std::vector<ControllerRecord>
RecordsOf(detail::ControllerStep& aStep)
{
  std::vector<ControllerRecord> records;
  for (auto& decision : aStep.mDecisions) {
    records.emplace_back(std::move(decision));
  }
  for (auto& assignments : aStep.mAssignments) {
    records.emplace_back(
      TaskAssignments::Create({ .mAssignments = std::move(assignments) }).value());
  }
  return records;
}

} // namespace

std::vector<ControllerRecord>
StepController(IntentController& aController,
               const IntentTable& aTable,
               const IntentContext& aContext,
               Time aNow)
{
  absl::erase_if(aController.mProposals, [&](const auto& aProposal) {
    return aProposal.second.mAt + kProposalTimeout <= aNow;
  });
  if (!aContext.mLogFresh || (aTable.mOpen.empty() && aTable.mOpenUrgent.empty())) {
    return {};
  }
  RefreshRackCapacities(aController, aContext);
  detail::ControllerStep step{
    .mTable = aTable,
    .mContext = aContext,
    .mController = aController,
    .mNow = aNow,
    .mFreeCapacity = ComputeFreeCapacity(aController, aTable, aContext),
    .mAssignedByTeam = {},
    .mUnplaceable = {},
    .mAssignments = {},
    .mDecisions = {},
  };
  AdvanceOpenIntents(step, aTable.mOpenUrgent, aController.mNextUrgent);
  AdvanceOpenIntents(step, aTable.mOpen, aController.mNext);
  return RecordsOf(step);
}

} // namespace by
