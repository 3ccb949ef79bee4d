#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "by_cell/OccurrenceRow.h"
#include "by_cell/PendingCaller.h"
#include "by_core/Time.h"
#include "by_schema/Job.h"

namespace by {

/// A job that has not ended.
struct JobRow
{
  Job mJob;
  /// Whether its record is stored.
  bool mStored{ false };
  /// Whether a task of it was ever started.
  bool mStarted{ false };
  /// When its objective ends.
  Time mObjective{};
  /// The occurrences whose time has come and that are not done.
  std::map<std::uint32_t, OccurrenceRow> mOccurrences;
  /// The first occurrence whose time has not come.
  std::uint32_t mNextOccurrence{ 0 };
  /// Occurrences that are done.
  std::uint32_t mDoneOccurrences{ 0 };
  /// Callers that wait until it is stored.
  std::vector<PendingCaller> mSubmitters;
};

} // namespace by
