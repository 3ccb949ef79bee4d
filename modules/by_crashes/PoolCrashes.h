#pragma once

#include <compare>
#include <cstddef>

namespace by {

/// What the workers of a pool that hold no trial did around the time of a crash. They show how
/// often workers crash for reasons of their own.
struct PoolCrashes
{
  /// The workers without a trial, the crashed ones included.
  std::size_t mWorkers{ 0 };
  /// The crashes at about the same time, and those within kCrashWindow.
  std::size_t mNear{ 0 };
  std::size_t mRecent{ 0 };

  friend bool operator==(const PoolCrashes&, const PoolCrashes&) = default;
  friend auto operator<=>(const PoolCrashes&, const PoolCrashes&) = default;
};

} // namespace by
