#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_cell/Urgency.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Key of a ready step; steps are placed in the order of their keys.
struct ReadyKey
{
  /// Whether no worker has the capacity for the step, however idle, or it exceeds its team's quota
  /// by itself; such steps come last.
  bool mInfeasible{ false };
  /// The team whose quota the step exceeds by itself, so that it waits until the quota is raised;
  /// empty for all other steps.
  TeamId mExceededTeam;
  /// Whether the job is overdue, and whether its submission exceeded the rate of its team. Excess
  /// steps come after all others, but before overdue ones, which have no value left.
  bool mIsOverdue{ false };
  bool mIsExcess{ false };
  /// How urgent the job is with respect to its objective.
  Urgency mUrgency{ Urgency::OnTime };
  /// The queue's priority; 0 is the highest.
  std::uint32_t mPriority{ 0 };
  /// The team of the job, its pool, and whether the step is a gang. PlacementOrder chooses between
  /// the groups of steps that have these in common; not set where the configuration has no teams.
  TeamId mTeam;
  std::string mPool;
  bool mIsGang{ false };
  /// The latest start of its first task for the job to meet its objective.
  Time mLatestStart{};
  std::string mJob;
  std::uint32_t mOccurrence{ 0 };
  std::uint32_t mStep{ 0 };

  friend bool operator==(const ReadyKey&, const ReadyKey&) = default;
  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

} // namespace by
