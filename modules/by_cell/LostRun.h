#pragma once

#include "by_cell/RunId.h"
#include "by_crashes/RunAtCrash.h"

namespace by {

/// A run that may have been active when its worker fell silent.
struct LostRun
{
  RunId mRun;
  RunAtCrash mFacts;
};

} // namespace by
