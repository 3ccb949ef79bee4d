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

/// The free capacity of each rack that may get new tasks.
using RackFreeCapacity = absl::flat_hash_map<RackId, Resources>;
/// The total capacity of each rack.
using RackCapacities = absl::flat_hash_map<RackId, RackCapacity>;

/// A rack that an intent's tasks may be assigned to.
struct RackCandidate
{
  /// The rack's id.
  RackId mRack;
  /// How many more of the intent's tasks fit on the rack.
  std::int64_t mTaskCapacity{ 0 };
  /// Replicas of the same service on the rack; zero for other work.
  std::int64_t mReplicas{ 0 };
  /// Orders racks that are otherwise equal, differently for each intent.
  std::uint64_t mTieBreak{ 0 };
};

/// The racks of one zone with free capacity, as a heap with the best rack at the top.
struct ZoneCandidates
{
  /// Replicas of the same service in the zone; zero for other work.
  std::int64_t mReplicas{ 0 };
  /// The heap of racks.
  std::vector<RackCandidate> mHeap;
};

/// The racks with free capacity for the tasks of one intent.
struct IntentRacks
{
  /// One entry per zone for a service, which is spread over zones; a single entry for other work.
  std::vector<ZoneCandidates> mZones;
  /// Whether the work is spread over zones and racks.
  bool mSpread{ false };
};

/// Collects the racks with free capacity for an intent's tasks.
IntentRacks
CandidateRacksFor(const RackFreeCapacity& aFreeCapacity,
                  const RackCapacities& aCapacities,
                  const FoldedIntent& aIntent);

/// Allocates one task on the best rack.
/// @param aAvoid the task's previous rack; used only if no other rack has capacity.
/// @returns the rack, or nothing if no rack has capacity.
std::optional<RackId>
AllocateRack(IntentRacks& aRacks, const RackId& aAvoid);

} // namespace by::detail
