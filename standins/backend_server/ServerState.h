#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "backend_server/RunningTask.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/BackendSwitch.h"
#include "by_schema/BackendVmSettings.h"
#include "by_schema/TaskStatus.h"

namespace by::standins {

/// Everything that one backend server holds.
struct ServerState
{
  BackendVmSettings mSettings;
  BackendSwitch mSwitch;
  /// Draws anew when the server starts.
  std::uint64_t mIncarnation{ 0 };
  /// The highest epoch that was seen.
  std::uint64_t mEpoch{ 0 };
  /// When the lease lapses.
  Time mLeaseUntil;
  std::map<TaskId, RunningTask> mRunning;
  /// Ended tasks that the owner has not acknowledged, and the order in which they ended.
  std::map<TaskId, TaskStatus> mEnded;
  std::deque<TaskId> mEndedOrder;
  /// What running tasks used, from each change on; kept for the lag of the reports.
  std::deque<std::pair<Time, Resources>> mUse;

  /// Tasks that ever ran here, with their generation; outlives a death, as the counters do.
  std::set<std::pair<TaskId, std::uint64_t>> mRanOnce;
  /// Non-idempotent tasks that ever ran here.
  std::set<TaskId> mNonIdempotent;
  std::vector<std::string> mNonIdempotentRuns;
  std::int64_t mStarted{ 0 };
  std::int64_t mFenced{ 0 };
  std::int64_t mOvercommitted{ 0 };
  std::int64_t mDoubled{ 0 };
};

} // namespace by::standins
