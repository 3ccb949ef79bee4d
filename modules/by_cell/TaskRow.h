#pragma once

#include <compare>
#include <cstdint>

#include "by_crashes/CrashHistory.h"
#include "by_schema/TaskProgress.h"

namespace by {

/// One task of an occurrence, with its progress and its runs.
struct TaskRow
{
  /// The progress that is stored, or will be by the next append.
  TaskProgress mProgress;
  /// Runs that may hold capacity on a worker; the task is placed again only when there are none.
  std::uint32_t mLiveRuns{ 0 };
  /// Whether the store holds a record of the task, or may hold one.
  bool mRecorded{ false };
  /// The crashes of workers under the task.
  CrashHistory mCrashes;
  /// Whether the store holds a record of them, or may hold one.
  bool mCrashesRecorded{ false };
  /// Whether the store holds a record of the runs that may have crashed their worker unseen, or may
  /// hold one.
  bool mLapsesRecorded{ false };
  /// Whether the task waits until it is known what its last crash says about it.
  bool mIsCrashOpen{ false };

  friend bool operator==(const TaskRow&, const TaskRow&) = default;
  friend auto operator<=>(const TaskRow&, const TaskRow&) = default;
};

} // namespace by
