#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"

#include "by_core/Time.h"
#include "by_intents/StepController.h"
#include "by_intents/detail/RackChoice.h"

namespace by::detail {

/// The working state of one step of the controller.
struct ControllerStep
{
  const IntentTable& mTable;
  const IntentContext& mContext;
  IntentController& mController;
  Time mNow;
  /// Free capacity of the racks that may get new tasks, minus the assignments of this step.
  RackFreeCapacity mFreeCapacity;
  /// Resources that this step assigns to each team.
  absl::flat_hash_map<TeamId, Resources> mAssignedByTeam;
  /// Resource requests of tasks that no rack has capacity for.
  std::vector<Resources> mUnplaceable;
  /// Assignments of this step, grouped into records of limited size.
  std::vector<std::vector<TaskAssignment>> mAssignments;
  /// Gang decisions of this step.
  std::vector<GangDecision> mDecisions;
};

/// Proposes the next record for an intent, unless an earlier proposal is still pending.
void
AdvanceIntent(ControllerStep& aStep, const FoldedIntent& aIntent);

} // namespace by::detail
