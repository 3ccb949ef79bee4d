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

/// What decides under load: functions that vary, and numbers.
struct SchedulingPolicy
{
  /// Chooses a VM.
  VmSearch mFindVm{ BestFit };
  /// The run time that a task is expected to have.
  RunTimeEstimator mEstimateRunTime{ LearnedRunTime };
  /// The room that a task is given.
  Resources (*mEstimateDemand)(const RunEstimateTable&, const WorkItem&){ CorrectedDemand };
  /// Chooses the lane of a task with the expected length.
  Lane (*mChooseLane)(const WorkItem&, Time aExpected, Time aShortLimit){ nullptr };
  /// What a team's turn is ordered by; the order of arrival decides among equals.
  std::int64_t (*mSchedulingKey)(const TeamRow&, const Resources& aTotal){ DominantShare };
  /// How long a task would wait if it were queued now.
  Time (*mEstimateWait)(const Scheduler&, const WorkItem&, Lane){ nullptr };
  /// Lets gangs start; returns whether long and deferrable work may be placed after it.
  bool (*mScheduleGangs)(Scheduler&, const SchedulingPolicy&, Time aNow, ScheduleOutcome&){
    nullptr
  };
  /// Whether deferrable work gives way.
  bool mPreemptionEnabled{ true };
  /// Share of all room that long work leaves to others.
  std::int64_t mShortReservePercent{ 0 };
  /// Work expected to run for less is short.
  Time mShortLimit{ Time::FromMilliseconds(2000) };
  /// Tasks that wait at most.
  std::int64_t mQueueLimit{ 20'000 };
  /// Teams' first tasks looked at in one pass over a lane.
  std::int64_t mMaxScannedTeams{ 256 };
  /// Searches without a find in one pass over a lane.
  std::int64_t mMaxFailedSearches{ 8 };
};

} // namespace by
