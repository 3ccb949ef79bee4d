#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"

#include "by_core/Time.h"
#include "by_intents/StepController.h"
#include "by_intents/detail/RackChoice.h"

namespace by::detail {

/// What one step of the controller has at hand.
struct ControllerStep
{
  const IntentTable& mTable;
  const IntentContext& mContext;
  IntentController& mController;
  Time mNow;
  /// What is left on racks that may get new work, less what this step gives out.
  RackFreeCapacity mFreeCapacity;
  /// What this step gives to each team.
  absl::flat_hash_map<TeamId, Resources> mAssignedByTeam;
  /// Sizes of tasks for which no rack has room.
  std::vector<Resources> mUnplaceable;
  /// Assignments that this step makes, filled up to whole records.
  std::vector<std::vector<TaskAssignment>> mAssignments;
  /// Decisions that this step makes.
  std::vector<GangDecision> mDecisions;
};

/// Proposes what one intent needs next, unless a proposal for it is still under way.
void
AdvanceIntent(ControllerStep& aStep, const FoldedIntent& aIntent);

} // namespace by::detail
