#pragma once

#include <string>

#include "by_core/Time.h"
#include "by_schema/Priority.h"
#include "by_schema/Resources.h"
#include "by_schema/WorkClass.h"

namespace by {

/// One kind of work that a generator makes.
struct KindProfile
{
  /// The kind.
  std::string mKind{};
  /// What kind of work it is.
  WorkClass mClass{ WorkClass::Request };
  /// How it is treated when capacity is short.
  Priority mPriority{ Priority::Normal };
  /// What each task takes.
  Resources mTaken{};
  /// Mean run time.
  Time mMean{};
  /// How long it may wait.
  Time mMaxWait{};
  /// Its part of the demand at the crest, measured in room times time.
  double mPart{ 0 };
  /// One in so many runs is a straggler; zero for none.
  std::int64_t mStragglerEvery{ 0 };
  /// How many times longer a straggler runs.
  std::int64_t mStragglerFactor{ 1 };
};

} // namespace by
