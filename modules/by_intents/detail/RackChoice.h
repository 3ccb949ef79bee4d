#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "by_core/Identifier.h"
#include "by_intents/FoldedIntent.h"
#include "by_intents/RackCapacity.h"
#include "by_schema/Resources.h"

namespace by::detail {

/// What is left on each rack that may get new work.
using RackFreeCapacity = absl::flat_hash_map<RackId, Resources>;
/// What each rack offers.
using RackCapacities = absl::flat_hash_map<RackId, RackCapacity>;

/// One rack that an intent's tasks may go to.
struct RackCandidate
{
  /// The rack.
  RackId mRack;
  /// How many more tasks it takes.
  std::int64_t mTaskCapacity{ 0 };
  /// Replicas of the same service on it; zero for other work.
  std::int64_t mReplicas{ 0 };
  /// Sets apart racks that are otherwise equal, differently for each intent.
  std::uint64_t mTieBreak{ 0 };
};

/// The racks of one zone that have room, as a heap with the best one at the top.
struct ZoneCandidates
{
  /// Replicas of the same service in the zone; zero for other work.
  std::int64_t mReplicas{ 0 };
  /// The racks.
  std::vector<RackCandidate> mHeap;
};

/// The racks that have room for the tasks of one intent.
struct IntentRacks
{
  /// One entry a zone for a service, which is spread; one entry in all for other work.
  std::vector<ZoneCandidates> mZones;
  /// Whether the work is spread over zones and racks.
  bool mSpread{ false };
};

/// Collects the racks that have room for an intent's tasks.
IntentRacks
CandidateRacksFor(const RackFreeCapacity& aLeft,
                  const RackCapacities& aCapacities,
                  const FoldedIntent& aIntent);

/// Takes the best rack for one task.
/// @param aAvoid a rack that the task just came from; taken only where no other has room.
/// @returns the rack, or nothing where none has room.
std::optional<RackId>
AllocateRack(IntentRacks& aRacks, const RackId& aAvoid);

} // namespace by::detail
