#pragma once

#include "by_cell/RunId.h"
#include "by_core/Time.h"
#include "by_crashes/CrashRole.h"

namespace by {

/// A run that was on a worker when it crashed.
struct RunInCrash
{
  RunId mRun;
  CrashRole mRole{ CrashRole::Bystander };
  /// How long after its start the worker had fallen silent.
  Time mSilentAfter{};
  /// The time after its start in which a crash counts against it; zero once that was over.
  Time mExposure{};
  /// Whether the crash is new in the history of its task.
  bool mIsNew{ false };
};

} // namespace by
