#pragma once

#include <cstdint>

#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_intents/IntentProposal.h"
#include "by_intents/RackCapacity.h"

namespace by {

/// The proposals of this node for intents. A lost append is proposed again after kProposalTimeout
/// and not in each step.
struct IntentController
{
  /// Proposals that have not appeared in the log yet.
  absl::flat_hash_map<IntentId, IntentProposal> mProposals;
  /// The urgent intent at which the next step continues.
  IntentId mNextUrgent;
  /// The non-urgent intent at which the next step continues.
  IntentId mNext;
  /// The capacity of each rack, computed from the VM list.
  absl::flat_hash_map<RackId, RackCapacity> mRackCapacities;
  /// The version of the VM list that mRackCapacities was computed from.
  std::uint64_t mRackCapacitiesVersion{ 0 };
};

} // namespace by
