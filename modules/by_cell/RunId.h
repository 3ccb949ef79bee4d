#pragma once

#include <compare>
#include <cstdint>

#include "by_schema/JobTaskKey.h"

namespace by {

/// One run of one task.
struct RunId
{
  JobTaskKey mTask;
  std::uint32_t mRun{ 0 };

  friend bool operator==(const RunId&, const RunId&) = default;
  friend auto operator<=>(const RunId&, const RunId&) = default;
};

} // namespace by
