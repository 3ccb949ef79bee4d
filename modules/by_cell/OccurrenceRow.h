#pragma once

#include <cstdint>
#include <vector>

#include "by_cell/StepRow.h"
#include "by_cell/TaskRow.h"

namespace by {

/// One occurrence of a job.
struct OccurrenceRow
{
  std::vector<TaskRow> mTasks;
  std::vector<StepRow> mSteps;
  /// When its time has come.
  Time mDue{};
  /// Whether all its tasks are done.
  bool mDone{ false };
};

} // namespace by
