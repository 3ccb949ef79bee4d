#pragma once

#include <cstdint>
#include <vector>

#include "by_cell/StepRow.h"
#include "by_cell/TaskRow.h"

namespace by {

/// One repetition of a scheduled job, or the only one of any other job.
struct OccurrenceRow
{
  std::vector<TaskRow> mTasks;
  std::vector<StepRow> mSteps;
  /// When it becomes due.
  Time mDue{};
  /// Whether all of its tasks are done.
  bool mDone{ false };
  /// Whether the store holds a record of the whole occurrence, which only earlier versions write.
  bool mRecorded{ false };
};

} // namespace by
