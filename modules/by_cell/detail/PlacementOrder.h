#pragma once

#include <cstddef>
#include <cstdint>
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

/// A team with work in a pool.
struct TeamInPool
{
  std::int64_t mWeight{ 1 };
  const PoolShares* mPool{ nullptr };
  /// Whether it uses less than its entitled share; never true again in a pass once it is not, since
  /// a pass only adds usage.
  bool mIsBelowShare{ true };
};

/// The ready steps of one team, pool, urgency and priority that are gangs, or that are not.
struct StepGroup
{
  /// The step that comes next.
  ReadyKey mNext;
  TeamInPool* mTeam{ nullptr };
};

/// The order in which a pass places steps where the configuration has teams. Groups of teams below
/// their entitled share of the pool come before the others of the same urgency and priority, each
/// by the latest start of its next step.
struct PlacementOrder
{
  std::map<std::string, PoolShares> mPools;
  std::map<std::pair<std::string, TeamId>, TeamInPool> mTeams;
  /// The groups in scheduling order, and the number of those that were begun.
  std::vector<StepGroup> mGroups;
  std::size_t mBegun{ 0 };
  /// The latest starts and indexes of the groups that were begun and have steps left: of teams
  /// below their entitled share, and of the others.
  std::set<std::pair<Time, std::size_t>> mBelow;
  std::set<std::pair<Time, std::size_t>> mAbove;
  /// The group of the step that was taken last.
  std::optional<std::size_t> mTaken;
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
