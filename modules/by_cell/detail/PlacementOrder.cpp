#include "by_cell/detail/PlacementOrder.h"

#include <tuple>
#include <utility>

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
         aLeft.mPool == aRight.mPool && aLeft.mIsGang == aRight.mIsGang;
}

/// @returns a key between the group of a key and the next group.
ReadyKey
EndOfGroup(const ReadyKey& aKey)
{
  auto end = aKey;
  end.mLatestStart = Time::Never();
  return end;
}

void
UpdateShare(const CellState& aState, const ReadyKey& aKey, TeamInPool& aTeam)
{
  const auto used = aState.mPoolUsage.find({ aKey.mPool, aKey.mTeam });
  aTeam.mIsBelowShare =
    IsBelowEntitledShare(used == aState.mPoolUsage.end() ? Resources() : used->second,
                         aTeam.mPool->mCapacity,
                         aTeam.mWeight,
                         aTeam.mPool->mWeightSum);
}

PoolShares&
SharesOf(PlacementPass& aPass, PlacementOrder& aOrder, const std::string& aPool)
{
  auto [it, isNew] = aOrder.mPools.try_emplace(aPool);
  if (isNew) {
    auto& capacity = it->second.mCapacity;
    for (const auto* worker : PoolOf(aPass, aPool)) {
      capacity = Plus(capacity, ChargeOf(worker->mRegistration.Capacity()));
    }
  }
  return it->second;
}

/// Computes which teams have work or runs in each pool, and which of them use less than their
/// share.
void
ComputeShares(PlacementPass& aPass, PlacementOrder& aOrder)
{
  const auto& state = aPass.mState;
  for (auto& group : aOrder.mGroups) {
    const auto& key = group.mNext;
    auto [it, isNew] = aOrder.mTeams.try_emplace({ key.mPool, key.mTeam });
    group.mTeam = &it->second;
    if (isNew) {
      auto& pool = SharesOf(aPass, aOrder, key.mPool);
      it->second.mWeight = WeightOf(state.mTeams, key.mTeam);
      it->second.mPool = &pool;
      pool.mWeightSum += it->second.mWeight;
    }
  }
  for (const auto& [key, used] : state.mPoolUsage) {
    const auto pool = aOrder.mPools.find(key.first);
    if (pool != aOrder.mPools.end() && !aOrder.mTeams.contains(key)) {
      pool->second.mWeightSum += WeightOf(state.mTeams, key.second);
    }
  }
  for (auto& group : aOrder.mGroups) {
    UpdateShare(state, group.mNext, *group.mTeam);
  }
}

void
AddGroup(PlacementOrder& aOrder, std::size_t aGroup)
{
  const auto& group = aOrder.mGroups[aGroup];
  auto& steps = group.mTeam->mIsBelowShare ? aOrder.mBelow : aOrder.mAbove;
  steps.emplace(group.mNext.mLatestStart, aGroup);
}

/// Goes on with the step that follows the one that was taken last in its group.
void
AddFollowing(PlacementPass& aPass, PlacementOrder& aOrder)
{
  if (!aOrder.mTaken) {
    return;
  }
  const auto index = *std::exchange(aOrder.mTaken, std::nullopt);
  auto& group = aOrder.mGroups[index];
  if (group.mTeam->mIsBelowShare) {
    UpdateShare(aPass.mState, group.mNext, *group.mTeam);
  }
  const auto& ready = aPass.mState.mReady;
  const auto next = ready.upper_bound(group.mNext);
  if (next != ready.end() && IsSameGroup(*next, group.mNext)) {
    group.mNext = *next;
    AddGroup(aOrder, index);
  }
}

/// Begins the groups of the next urgency and priority.
void
BeginGroups(PlacementOrder& aOrder)
{
  const auto& groups = aOrder.mGroups;
  const auto first = aOrder.mBegun;
  while (aOrder.mBegun < groups.size() &&
         RankOf(groups[aOrder.mBegun].mNext) == RankOf(groups[first].mNext)) {
    AddGroup(aOrder, aOrder.mBegun++);
  }
}

ReadyKey
TakeFirst(PlacementOrder& aOrder, std::set<std::pair<Time, std::size_t>>& aSteps)
{
  const auto index = aSteps.extract(aSteps.begin()).value().second;
  aOrder.mTaken = index;
  return aOrder.mGroups[index].mNext;
}

} // namespace

PlacementOrder
OrderReadySteps(PlacementPass& aPass)
{
  PlacementOrder order;
  const auto& ready = aPass.mState.mReady;
  for (auto it = ready.begin(); it != ready.end() && !it->mInfeasible;
       it = ready.upper_bound(EndOfGroup(*it))) {
    order.mGroups.push_back({ .mNext = *it });
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
    const auto first = aOrder.mBelow.begin();
    if (aOrder.mGroups[first->second].mTeam->mIsBelowShare) {
      return TakeFirst(aOrder, aOrder.mBelow);
    }
    aOrder.mAbove.insert(aOrder.mBelow.extract(first));
  }
  if (aOrder.mAbove.empty()) {
    return std::nullopt;
  }
  return TakeFirst(aOrder, aOrder.mAbove);
}

void
LeaveGroup(PlacementOrder& aOrder)
{
  aOrder.mTaken.reset();
}

} // namespace by::detail
