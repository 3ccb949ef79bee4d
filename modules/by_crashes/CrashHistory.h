#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "by_core/Time.h"

namespace by {

/// The crashes of workers under one task.
struct CrashHistory
{
  /// The runs whose worker crashed, each once, however many owners notice it.
  std::vector<std::uint32_t> mRuns;
  /// Weight of the evidence that the task caused the crashes.
  std::uint32_t mBlame{ 0 };
  /// When the last crash was noticed.
  Time mLastCrash{};

  friend bool operator==(const CrashHistory&, const CrashHistory&) = default;
  friend auto operator<=>(const CrashHistory&, const CrashHistory&) = default;
};

} // namespace by
