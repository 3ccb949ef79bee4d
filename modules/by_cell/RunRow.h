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
  bool mScavenges{ false };
  bool mServes{ false };
  /// When it entered its phase.
  Time mSince{};
  /// When it was first ordered.
  Time mOrderedAt{};
  /// Whether a start is on its way.
  bool mStartOpen{ false };
  /// Whether a start went without an answer, so that it may be carried out late.
  bool mStartLost{ false };
  /// When to send the start again; Never() where no start is owed.
  Time mStartAgain{ Time::Never() };
  /// Whether it is to be stopped.
  bool mStopWanted{ false };
  /// Whether a stop is on its way.
  bool mStopOpen{ false };
  Time mStopSent{};
  /// When to send the stop again.
  Time mStopAgain{ Time::Never() };
  /// When the worker confirmed a stop; from then on a look that does not list the run ends it.
  Time mBarredAt{ Time::Never() };
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
