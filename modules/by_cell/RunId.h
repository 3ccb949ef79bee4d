#pragma once

#include <compare>
#include <cstdint>

#include "by_schema/TaskKey.h"

namespace by {

/// One run of one task.
struct RunId
{
  TaskKey mTask;
  std::uint32_t mRun{ 0 };

  friend bool operator==(const RunId&, const RunId&) = default;
  friend auto operator<=>(const RunId&, const RunId&) = default;
};

} // namespace by
