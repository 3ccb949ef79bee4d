#pragma once

#include <compare>
#include <cstdint>

#include "by_cell/RunPhase.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// A run that takes, or may take, room on a worker.
struct RunRow
{
  RunPhase mPhase{ RunPhase::Planned };
  /// The room that it takes.
  Resources mDemand;
  /// Whether it uses only what others leave idle, and whether it must keep its response times low.
  bool mIsScavenging{ false };
  bool mIsLatencySensitive{ false };
  /// When it entered its phase.
  Time mPhaseSince{};
  /// When it was first ordered.
  Time mOrderedAt{};
  /// Whether a start is on its way.
  bool mStartInFlight{ false };
  /// Whether a start went without an answer, so that it may be carried out late.
  bool mStartUnanswered{ false };
  /// When to send the start again; Never() where no start is owed.
  Time mStartRetryAt{ Time::Never() };
  /// Whether it is to be stopped.
  bool mStopRequested{ false };
  /// Whether a stop is on its way.
  bool mStopInFlight{ false };
  Time mStopSentAt{};
  /// When to send the stop again.
  Time mStopRetryAt{ Time::Never() };
  /// When the worker confirmed a stop; from then on a look that does not list the run ends it.
  Time mStopConfirmedAt{ Time::Never() };
  /// The declared time of the work.
  Time mEstimate{};
  /// The work that the last look listed. [percent]
  std::uint32_t mPercent{ 0 };
  /// When the work listed last grew.
  Time mProgressAt{};

  friend bool operator==(const RunRow&, const RunRow&) = default;
  friend auto operator<=>(const RunRow&, const RunRow&) = default;
};

} // namespace by
