#include "by_cell/detail/PlacementOrder.h"

#include <tuple>

#include "by_cell/detail/TeamUsage.h"
#include "by_placement/ResourceMath.h"
#include "by_sharing/by_sharing.h"

namespace by::detail {

namespace {

/// The fields of a key that rank before the team.
auto
RankOf(const ReadyKey& aKey)
{
  return std::tie(aKey.mInfeasible, aKey.mIsOverdue, aKey.mIsExcess, aKey.mUrgency, aKey.mPriority);
}

bool
IsSameGroup(const ReadyKey& aLeft, const ReadyKey& aRight)
{
  return RankOf(aLeft) == RankOf(aRight) && aLeft.mTeam == aRight.mTeam &&
         aLeft.mPool == aRight.mPool;
}

/// @returns a key between the group of a key and the next group.
ReadyKey
EndOfGroup(const ReadyKey& aKey)
{
  auto end = aKey;
  end.mPool += '\0';
  return end;
}

bool
IsBelowShare(PlacementPass& aPass, const PlacementOrder& aOrder, const ReadyKey& aKey)
{
  const auto& state = aPass.mState;
  const auto& pool = aOrder.mPools.at(aKey.mPool);
  const auto used = state.mPoolUsage.find({ aKey.mPool, aKey.mTeam });
  return IsBelowEntitledShare(used == state.mPoolUsage.end() ? Resources() : used->second,
                              pool.mCapacity,
                              WeightOf(state.mTeams, aKey.mTeam),
                              pool.mWeightSum);
}

/// Computes the capacity of each pool, and which teams have work or runs there.
void
ComputeShares(PlacementPass& aPass, PlacementOrder& aOrder)
{
  std::set<std::pair<std::string, TeamId>> competing;
  for (const auto& key : aOrder.mGroups) {
    competing.emplace(key.mPool, key.mTeam);
  }
  for (const auto& [key, used] : aPass.mState.mPoolUsage) {
    competing.insert(key);
  }
  for (const auto& [pool, team] : competing) {
    auto [it, isNew] = aOrder.mPools.try_emplace(pool);
    it->second.mWeightSum += WeightOf(aPass.mState.mTeams, team);
    if (!isNew) {
      continue;
    }
    for (const auto* worker : PoolOf(aPass, pool)) {
      it->second.mCapacity = Plus(it->second.mCapacity, ChargeOf(worker->mRegistration.Capacity()));
    }
  }
}

/// Adds the step that follows the one that was taken last in its group.
void
AddFollowing(PlacementPass& aPass, PlacementOrder& aOrder)
{
  if (!aOrder.mTaken) {
    return;
  }
  const auto& ready = aPass.mState.mReady;
  const auto next = ready.upper_bound(*aOrder.mTaken);
  if (next != ready.end() && IsSameGroup(*next, *aOrder.mTaken)) {
    auto& steps = aOrder.mIsTakenFromBelow ? aOrder.mBelow : aOrder.mAbove;
    steps.emplace(next->mLatestStart, *next);
  }
  aOrder.mTaken.reset();
}

/// Begins the groups of the next urgency and priority.
void
BeginGroups(PlacementOrder& aOrder)
{
  const auto& groups = aOrder.mGroups;
  const auto first = aOrder.mBegun;
  while (aOrder.mBegun < groups.size() && RankOf(groups[aOrder.mBegun]) == RankOf(groups[first])) {
    const auto& key = groups[aOrder.mBegun++];
    aOrder.mBelow.emplace(key.mLatestStart, key);
  }
}

ReadyKey
TakeFirst(PlacementOrder& aOrder, std::set<std::pair<Time, ReadyKey>>& aSteps)
{
  aOrder.mTaken = std::move(aSteps.extract(aSteps.begin()).value().second);
  return *aOrder.mTaken;
}

} // namespace

PlacementOrder
OrderReadySteps(PlacementPass& aPass)
{
  PlacementOrder order;
  const auto& ready = aPass.mState.mReady;
  for (auto it = ready.begin(); it != ready.end() && !it->mInfeasible;
       it = ready.lower_bound(EndOfGroup(*it))) {
    order.mGroups.push_back(*it);
  }
  ComputeShares(aPass, order);
  return order;
}

std::optional<ReadyKey>
TakeNextStep(PlacementPass& aPass, PlacementOrder& aOrder)
{
  AddFollowing(aPass, aOrder);
  if (aOrder.mBelow.empty() && aOrder.mAbove.empty()) {
    BeginGroups(aOrder);
  }
  while (!aOrder.mBelow.empty()) {
    if (IsBelowShare(aPass, aOrder, aOrder.mBelow.begin()->second)) {
      aOrder.mIsTakenFromBelow = true;
      return TakeFirst(aOrder, aOrder.mBelow);
    }
    aOrder.mAbove.insert(aOrder.mBelow.extract(aOrder.mBelow.begin()));
  }
  if (aOrder.mAbove.empty()) {
    return std::nullopt;
  }
  aOrder.mIsTakenFromBelow = false;
  return TakeFirst(aOrder, aOrder.mAbove);
}

void
LeaveGroup(PlacementOrder& aOrder)
{
  aOrder.mTaken.reset();
}

} // namespace by::detail
