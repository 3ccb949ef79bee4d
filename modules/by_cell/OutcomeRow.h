#pragma once

#include <compare>
#include <vector>

#include "by_cell/PendingCaller.h"
#include "by_core/Time.h"
#include "by_schema/JobState.h"

namespace by {

/// A job that ended.
struct OutcomeRow
{
  JobState mState{ JobState::Completed };
  /// Whether its record is stored; until then it is shown as it was before.
  bool mStored{ false };
  /// When it ended.
  Time mEnded{};
  /// Callers that wait until its cancelling is stored.
  std::vector<PendingCaller> mCancellers;
  /// Callers that handed it in and wait until it is stored.
  std::vector<PendingCaller> mSubmitters;

  friend bool operator==(const OutcomeRow&, const OutcomeRow&) = default;
  friend auto operator<=>(const OutcomeRow&, const OutcomeRow&) = default;
};

} // namespace by
