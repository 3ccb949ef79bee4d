#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "by_cell/ReadyKey.h"
#include "by_cell/detail/PlacementPass.h"

namespace by::detail {

/// The capacity of a pool, and the sum of the weights of the teams that have work or runs there.
struct PoolShares
{
  Resources mCapacity;
  std::int64_t mWeightSum{ 0 };
};

/// The order in which a pass places steps where the configuration has teams. Steps of one urgency
/// and priority are divided into groups by team and pool, of which each is examined by latest
/// start; groups of teams below their entitled share of the pool come before the others.
struct PlacementOrder
{
  std::map<std::string, PoolShares> mPools;
  /// The first step of each group, in scheduling order, and the number of those that were begun.
  std::vector<ReadyKey> mGroups;
  std::size_t mBegun{ 0 };
  /// The next steps of the groups that were begun, by latest start: of teams below their entitled
  /// share, and of the others. Usage only grows in a pass, so steps move from the first set to the
  /// second and never back.
  std::set<std::pair<Time, ReadyKey>> mBelow;
  std::set<std::pair<Time, ReadyKey>> mAbove;
  /// The step that was taken last; its group goes on with the one after it.
  std::optional<ReadyKey> mTaken;
  bool mIsTakenFromBelow{ false };
};

/// @returns the order of the ready steps that can be placed.
PlacementOrder
OrderReadySteps(PlacementPass& aPass);

/// Removes the step that comes next.
/// @returns its key, or nothing if all steps were taken.
std::optional<ReadyKey>
TakeNextStep(PlacementPass& aPass, PlacementOrder& aOrder);

/// Leaves the further steps of the group of the step that was taken last to the next pass.
void
LeaveGroup(PlacementOrder& aOrder);

} // namespace by::detail
