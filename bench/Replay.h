#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ArrivalList.h"
#include "by_core/Time.h"
#include "by_schema/ConfigDocument.h"
#include "by_schema/Reason.h"
#include "by_schema/Resources.h"
#include "by_schema/VmDescription.h"

namespace by {

/// What became of one task of a list.
struct ReplayedTask
{
  /// When it first started; never where it did not.
  Time mStarted{ Time::Never() };
  /// When it ended.
  Time mEnded{ Time::Never() };
  /// Why it was refused or cancelled; none where it was not.
  Reason mReason{ Reason::None };
};

/// The state of the fleet at one point in time.
struct ReplaySample
{
  /// The time.
  Time mAt{};
  /// What running tasks take.
  Resources mUsed{};
  /// What waiting tasks would take.
  Resources mWaiting{};
  /// What each team's running tasks take, in the order of the list's teams.
  std::vector<Resources> mUsedByTeam{};
  /// How many tasks of each team wait.
  std::vector<std::int64_t> mWaitingByTeam{};
};

/// What a replay showed.
struct ReplayResult
{
  /// One for each arrival.
  std::vector<ReplayedTask> mTasks{};
  /// Samples at equal distances.
  std::vector<ReplaySample> mSamples{};
  /// Times at which a VM was given more than it holds.
  std::int64_t mOverCapacity{ 0 };
  /// Tasks that were asked to give way.
  std::int64_t mPreemptions{ 0 };
};

/// Replays a list through the decision functions on a clock of its own, until all tasks have
/// ended or aUntil.
ReplayResult
Replay(const ArrivalList& aList, const ConfigDocument& aConfig, Time aUntil);

/// @returns the fleet's VMs.
std::vector<VmDescription>
VmsOf(const VmFleet& aFleet);

} // namespace by
