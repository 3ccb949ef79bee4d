#pragma once

#include <compare>
#include <cstdint>

#include "by_schema/JobTaskKey.h"

namespace by {

/// Identifies one run of a task; a task's runs are numbered from 1.
struct RunId
{
  JobTaskKey mTask;
  std::uint32_t mRun{ 0 };

  friend bool operator==(const RunId&, const RunId&) = default;
  friend auto operator<=>(const RunId&, const RunId&) = default;
};

} // namespace by
