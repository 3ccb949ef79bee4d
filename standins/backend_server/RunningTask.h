#pragma once

#include "by_core/Time.h"
#include "by_schema/TaskStart.h"

namespace by::standins {

/// One task that runs on a backend server.
struct RunningTask
{
  /// What was started.
  TaskStart mStart;
  /// When it was started.
  Time mStartedAt;
  /// When it ends by itself.
  Time mEndsAt;
  /// Whether it is slowed down.
  bool mThrottled{ false };
  /// Whether it ends badly.
  bool mFails{ false };
  /// Whether it crashes the server at its end.
  bool mCrashes{ false };

  friend bool operator==(const RunningTask&, const RunningTask&) = default;
  friend auto operator<=>(const RunningTask&, const RunningTask&) = default;
};

} // namespace by::standins
