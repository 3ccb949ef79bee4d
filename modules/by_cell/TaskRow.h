#pragma once

#include <compare>
#include <cstdint>

#include "by_schema/TaskProgress.h"

namespace by {

/// One task of an occurrence.
struct TaskRow
{
  /// What is stored of it, or will be by the next append.
  TaskProgress mProgress;
  /// Runs of it that may take room somewhere; a new one waits until there is none.
  std::uint32_t mLiveRuns{ 0 };

  friend bool operator==(const TaskRow&, const TaskRow&) = default;
  friend auto operator<=>(const TaskRow&, const TaskRow&) = default;
};

} // namespace by
