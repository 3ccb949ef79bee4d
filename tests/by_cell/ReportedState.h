#pragma once

#include <CppUTest/TestHarness.h>

#include "by_cell/CellFixture.h"

namespace by {

/// @returns the state that a caller gets for a job.
inline JobState
ReportedState(CellFixture& aCell, const std::string& aJob)
{
  aCell.mOut.clear();
  aCell.Call(JobCallKind::Show, aJob);
  const auto replies = aCell.TakeReplies();
  CHECK_EQUAL(1, replies.size());
  return replies.front().State();
}

} // namespace by
