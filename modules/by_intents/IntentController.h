#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_intents/IntentProposal.h"
#include "by_intents/RackCapacity.h"

namespace by {

/// What this node proposed for intents, so that a lost append is proposed again after a bound and
/// not at each step.
struct IntentController
{
  /// Proposals that the log has not shown yet.
  absl::flat_hash_map<IntentId, IntentProposal> mProposals;
  /// Where the next step goes on among urgent intents.
  IntentId mNextUrgent;
  /// Where the next step goes on among other intents.
  IntentId mNext;
  /// What each rack offers, from the list of VMs.
  absl::flat_hash_map<RackId, RackCapacity> mRackCapacities;
  /// The version of the list that mRackCapacities was built from.
  std::uint64_t mRackCapacitiesVersion{ 0 };
};

} // namespace by
