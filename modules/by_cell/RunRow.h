#pragma once

#include <compare>
#include <cstdint>

#include "by_cell/RunPhase.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// A run that holds, or may hold, capacity on a worker.
struct RunRow
{
  RunPhase mPhase{ RunPhase::Planned };
  /// The resources that it holds.
  Resources mDemand;
  /// Whether the resources that it holds are not known, so that the worker has none to spare.
  bool mIsDemandUnknown{ false };
  /// Whether it uses only idle processor time, and whether its step has a response time target.
  bool mIsScavenging{ false };
  bool mIsLatencySensitive{ false };
  /// How long the run of a suspected task has to go on alone before it counts as harmless; zero
  /// once it has, and for all other tasks.
  Time mProbation{};
  /// When the run entered its phase.
  Time mPhaseSince{};
  /// When its start was first sent; zero while it was not.
  Time mOrderedAt{};
  /// Whether a start is unanswered and has not timed out yet.
  bool mStartInFlight{ false };
  /// Whether a start went unanswered, so that the worker may still carry it out late.
  bool mStartUnanswered{ false };
  /// When the last start order timed out; zero if none did.
  Time mStartTimedOutAt{};
  /// When to send the start again; Never() where no retry is due.
  Time mStartRetryAt{ Time::Never() };
  /// Whether the run has to be stopped.
  bool mStopRequested{ false };
  /// Whether a stop is unanswered and has not timed out yet.
  bool mStopInFlight{ false };
  Time mStopSentAt{};
  /// When to send the stop again; Never() where no retry is due.
  Time mStopRetryAt{ Time::Never() };
  /// When the worker confirmed a stop; a report to a poll sent later that lacks the run proves that
  /// the run has ended.
  Time mStopConfirmedAt{ Time::Never() };
  /// The declared duration of the work.
  Time mEstimate{};
  /// The progress in the last report. [percent]
  std::uint32_t mPercent{ 0 };
  /// When the reported progress last changed.
  Time mProgressAt{};

  friend bool operator==(const RunRow&, const RunRow&) = default;
  friend auto operator<=>(const RunRow&, const RunRow&) = default;
};

} // namespace by
