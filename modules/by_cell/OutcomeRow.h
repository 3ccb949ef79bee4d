#pragma once

#include <compare>
#include <vector>

#include "by_cell/PendingCaller.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/JobState.h"

namespace by {

/// The outcome of a job that has ended.
struct OutcomeRow
{
  JobState mState{ JobState::Completed };
  /// The team that submitted the job; empty if its queue needs no key.
  TeamId mTeam;
  /// Whether the outcome is stored; until then callers see the job as running.
  bool mStored{ false };
  /// When the job ended.
  Time mEnded{};
  /// Callers that cancelled the job and wait until the outcome is stored.
  std::vector<PendingCaller> mCancellers;
  /// Callers that submitted the job and wait until the outcome is stored.
  std::vector<PendingCaller> mSubmitters;

  friend bool operator==(const OutcomeRow&, const OutcomeRow&) = default;
  friend auto operator<=>(const OutcomeRow&, const OutcomeRow&) = default;
};

} // namespace by
