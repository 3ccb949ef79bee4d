#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "by_cell/OccurrenceRow.h"
#include "by_cell/PendingCaller.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Job.h"

namespace by {

/// A job that has not ended, with its occurrences and the callers that wait for it.
struct JobRow
{
  Job mJob;
  /// The team that submitted it; empty if its queue needs no key.
  TeamId mTeam;
  /// Whether its submission exceeded the rate of its team, so that it runs after all others.
  bool mIsExcess{ false };
  /// Whether the record of its acceptance is stored.
  bool mStored{ false };
  /// Whether a worker is known to have started one of its tasks; also set when the job ends.
  bool mStarted{ false };
  /// When the job has to be done to meet its queue's objective.
  Time mObjective{};
  /// The occurrences that have become due, by number.
  std::map<std::uint32_t, OccurrenceRow> mOccurrences;
  /// The number of the first occurrence that is not due yet.
  std::uint32_t mNextOccurrence{ 0 };
  /// The number of occurrences of which all tasks are done.
  std::uint32_t mDoneOccurrences{ 0 };
  /// Submitters that are answered once the job is stored.
  std::vector<PendingCaller> mSubmitters;
};

} // namespace by
