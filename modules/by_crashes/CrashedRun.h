#pragma once

#include <compare>
#include <cstdint>

#include "by_core/Time.h"

namespace by {

/// A run whose worker crashed, and which may have been the cause.
struct CrashedRun
{
  std::uint32_t mRun{ 0 };
  /// How long after its start the worker fell silent; zero where that is not known.
  Time mAge{};
  /// Whether it was on probation, so that it may well have been the cause.
  bool mIsSuspect{ false };
  /// Weight of the evidence that it was.
  std::uint32_t mBlame{ 0 };

  friend bool operator==(const CrashedRun&, const CrashedRun&) = default;
  friend auto operator<=>(const CrashedRun&, const CrashedRun&) = default;
};

} // namespace by
