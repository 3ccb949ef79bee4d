#pragma once

#include <cstdint>

#include "by_admission/RunEstimates.h"
#include "by_core/Time.h"
#include "by_placement/FindVm.h"
#include "by_schema/Lane.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkItem.h"
#include "by_sharing/TeamShares.h"

namespace by {

struct Scheduler;
struct ScheduleOutcome;

/// The exchangeable functions and limits of the scheduler.
struct SchedulingPolicy
{
  /// Chooses a VM for a task.
  VmSearch mFindVm{ BestFit };
  /// Estimates the run time of a task.
  RunTimeEstimator mEstimateRunTime{ LearnedRunTime };
  /// Estimates the resources to commit for a task.
  Resources (*mEstimateDemand)(const RunEstimateTable&, const WorkItem&){ CorrectedDemand };
  /// Chooses the lane of a task from its expected run time.
  Lane (*mChooseLane)(const WorkItem&, Time aExpected, Time aShortLimit){ nullptr };
  /// Computes the key that orders the teams in a lane, lowest first. Ties are broken by order of
  /// arrival.
  std::int64_t (*mSchedulingKey)(const TeamRow&, const Resources& aTotal){ DominantShare };
  /// Estimates how long a task would wait if it were queued now.
  Time (*mEstimateWait)(const Scheduler&, const WorkItem&, Lane){ nullptr };
  /// Places gangs or reserves resources for them. Returns whether long and deferrable work may be
  /// placed afterwards.
  bool (*mScheduleGangs)(Scheduler&, const SchedulingPolicy&, Time aNow, ScheduleOutcome&){
    nullptr
  };
  /// Whether deferrable tasks may be preempted.
  bool mPreemptionEnabled{ true };
  /// Percentage of all capacity that long work leaves free for other work.
  std::int64_t mShortReservePercent{ 0 };
  /// Work with a shorter expected run time is short.
  Time mShortLimit{ Time::FromMilliseconds(2000) };
  /// Maximum number of queued tasks.
  std::int64_t mQueueLimit{ 20'000 };
  /// Maximum number of teams whose first task could not be placed, in one scan of a lane.
  std::int64_t mMaxScannedTeams{ 256 };
  /// Maximum number of failed VM searches in one scan of a lane.
  std::int64_t mMaxFailedSearches{ 8 };
};

} // namespace by
