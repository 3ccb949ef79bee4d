#pragma once

#include <string>
#include <vector>

#include "by_cell/RunInCrash.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// The crash of a worker.
struct WorkerCrash
{
  std::string mWorker;
  /// The machine that it ran on; empty where it is not known.
  std::string mMachine;
  std::string mPool;
  RackId mRack;
  /// When the worker fell silent, and when it was known to have crashed.
  Time mLostAt{};
  Time mNoticedAt{};
  /// The runs that were on the worker, with their part in the crash.
  std::vector<RunInCrash> mRuns;
  /// Whether a task explains the crash: it was on trial there, or has crashed a worker in a trial
  /// since.
  bool mIsExplained{ false };
  /// Whether its meaning for the tasks has been decided.
  bool mIsSettled{ false };
};

} // namespace by
