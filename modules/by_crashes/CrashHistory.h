#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "by_core/Time.h"
#include "by_crashes/CrashedRun.h"

namespace by {

/// The crashes of workers that a task may have caused.
struct CrashHistory
{
  /// The runs whose worker crashed, each once, however many owners notice it. Those that a later
  /// run of the task has cleared are left out.
  std::vector<CrashedRun> mRuns;
  /// The runs on probation whose lease expired while their worker was out of reach, so that they
  /// may have crashed it, and those of a task with few starts left that ended with their gang. They
  /// are no evidence, but count for the starts that are left.
  std::vector<std::uint32_t> mLapsed;
  /// When the last crash was noticed.
  Time mLastCrash{};

  friend bool operator==(const CrashHistory&, const CrashHistory&) = default;
  friend auto operator<=>(const CrashHistory&, const CrashHistory&) = default;
};

} // namespace by
