#include "by_intents/detail/RackChoice.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "by_intents/detail/ResourceArithmetic.h"
#include "by_intents/detail/StableHash.h"
#include "by_intents/detail/TaskIndex.h"

namespace by::detail {

namespace {

/// Orders racks in the heap.
/// @returns whether the right rack is better: it has fewer replicas of the same service or, with
/// equally many, more free capacity, so that the work is spread over owners.
bool
IsWorse(const RackCandidate& aLeft, const RackCandidate& aRight)
{
  return std::tuple(-aLeft.mReplicas, aLeft.mTaskCapacity, aLeft.mTieBreak) <
         std::tuple(-aRight.mReplicas, aRight.mTaskCapacity, aRight.mTieBreak);
}

/// @returns how many tasks of this size fit on the rack's servers, limited by the rack's free
/// capacity.
std::int64_t
TaskCapacity(const RackCapacity& aCapacity, const Resources& aFreeCapacity, const Resources& aTask)
{
  std::int64_t taskCapacity = 0;
  for (const auto& vm : aCapacity.mVms) {
    taskCapacity += TimesContained(aTask, vm);
  }
  return std::min(taskCapacity, TimesContained(aTask, aFreeCapacity));
}

/// @returns the number of the service's replicas in each zone.
absl::flat_hash_map<ZoneId, std::int64_t>
ZoneReplicas(const RackCapacities& aCapacities, const FoldedIntent& aIntent)
{
  absl::flat_hash_map<ZoneId, std::int64_t> replicas;
  for (const auto& [rack, count] : aIntent.mLiveByRack) {
    const auto capacity = aCapacities.find(rack);
    if (capacity != aCapacities.end()) {
      replicas[capacity->second.mZone] += count;
    }
  }
  return replicas;
}

/// @returns whether the left zone is better, because it has fewer replicas of the same service.
/// Both zones have at least one rack.
bool
IsBetter(const ZoneCandidates& aLeft, const ZoneCandidates& aRight)
{
  return std::tuple(-aLeft.mReplicas, aLeft.mHeap.front().mTieBreak) >
         std::tuple(-aRight.mReplicas, aRight.mHeap.front().mTieBreak);
}

/// @returns the best zone that has a rack and satisfies the predicate, or null.
template<class Predicate>
ZoneCandidates*
BestZone(IntentRacks& aRacks, const Predicate& aPredicate)
{
  ZoneCandidates* best = nullptr;
  for (auto& zone : aRacks.mZones) {
    if (!zone.mHeap.empty() && aPredicate(zone) && (best == nullptr || IsBetter(zone, *best))) {
      best = &zone;
    }
  }
  return best;
}

/// Allocates one task on the rack that was moved to the end of the zone's heap.
RackId
AllocateLastRack(ZoneCandidates& aZone, bool aSpread)
{
  auto& last = aZone.mHeap.back();
  auto rack = last.mRack;
  last.mReplicas += aSpread ? 1 : 0;
  aZone.mReplicas += aSpread ? 1 : 0;
  if (--last.mTaskCapacity == 0) {
    aZone.mHeap.pop_back();
  } else {
    std::push_heap(aZone.mHeap.begin(), aZone.mHeap.end(), IsWorse);
  }
  return rack;
}

} // namespace

IntentRacks
CandidateRacksFor(const RackFreeCapacity& aFreeCapacity,
                  const RackCapacities& aCapacities,
                  const FoldedIntent& aIntent)
{
  const auto& spec = aIntent.mPlan.Spec();
  const auto seed = StableHash(aIntent.mPlan.Intent().Text());
  const bool spread = IsService(aIntent);
  absl::flat_hash_map<ZoneId, ZoneCandidates> zones;
  for (const auto& [rack, freeCapacity] : aFreeCapacity) {
    const auto& capacity = aCapacities.at(rack);
    const auto taskCapacity = TaskCapacity(capacity, freeCapacity, spec.Resources());
    if (taskCapacity > 0) {
      const auto onRack = aIntent.mLiveByRack.find(rack);
      const auto replicas = spread && onRack != aIntent.mLiveByRack.end() ? onRack->second : 0;
      zones[spread ? capacity.mZone : ZoneId()].mHeap.push_back(
        { rack, taskCapacity, replicas, StableHash(rack.Text(), seed) });
    }
  }
  const auto replicas = ZoneReplicas(aCapacities, aIntent);
  IntentRacks racks{ .mZones = {}, .mSpread = spread };
  for (auto& [zone, candidates] : zones) {
    const auto inZone = replicas.find(zone);
    candidates.mReplicas = spread && inZone != replicas.end() ? inZone->second : 0;
    std::make_heap(candidates.mHeap.begin(), candidates.mHeap.end(), IsWorse);
    racks.mZones.push_back(std::move(candidates));
  }
  return racks;
}

std::optional<RackId>
AllocateRack(IntentRacks& aRacks, const RackId& aAvoid)
{
  auto* best = BestZone(aRacks, [&](const ZoneCandidates& aZone) {
    return aZone.mHeap.size() > 1 || aZone.mHeap.front().mRack != aAvoid;
  });
  if (best == nullptr) {
    best = BestZone(aRacks, [](const ZoneCandidates&) { return true; });
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  auto& heap = best->mHeap;
  std::pop_heap(heap.begin(), heap.end(), IsWorse);
  if (heap.back().mRack != aAvoid || heap.size() == 1) {
    return AllocateLastRack(*best, aRacks.mSpread);
  }
  const auto avoided = heap.back();
  heap.pop_back();
  std::pop_heap(heap.begin(), heap.end(), IsWorse);
  auto rack = AllocateLastRack(*best, aRacks.mSpread);
  heap.push_back(avoided);
  std::push_heap(heap.begin(), heap.end(), IsWorse);
  return rack;
}

} // namespace by::detail
