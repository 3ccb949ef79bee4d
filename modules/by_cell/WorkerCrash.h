#pragma once

#include <string>
#include <utility>
#include <vector>

#include "by_cell/RunId.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_crashes/CrashRole.h"

namespace by {

/// The crash of a worker that had runs.
struct WorkerCrash
{
  std::string mWorker;
  std::string mPool;
  RackId mRack;
  /// When the worker fell silent, and when it was known to have crashed.
  Time mLostAt{};
  Time mNoticedAt{};
  /// The runs that were on the worker, with their part in the crash.
  std::vector<std::pair<RunId, CrashRole>> mRuns;
  /// Whether a suspected task was on trial there, which explains the crash.
  bool mIsTrial{ false };
  /// Whether its meaning for the tasks has been decided.
  bool mIsSettled{ false };
};

} // namespace by
