#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "by_cell/RunPhase.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_schema/Resources.h"

namespace by {

/// A run that holds, or may hold, capacity on a worker.
struct RunRow
{
  RunPhase mPhase{ RunPhase::Planned };
  /// The resources that it holds.
  Resources mDemand;
  /// The team of its job, which may have ended, the pool of which it uses a share, and the
  /// resources that the team is charged with.
  TeamId mTeam;
  std::string mPool;
  Resources mCharge;
  /// Whether the resources that it holds are not known, so that the worker has none to spare.
  bool mIsDemandUnknown{ false };
  /// Whether it uses only idle processor time, and whether its step has a response time target.
  bool mIsScavenging{ false };
  bool mIsLatencySensitive{ false };
  /// Whether it runs until its job is cancelled.
  bool mIsLongRunning{ false };
  /// Whether its task is a member of a gang.
  bool mIsGangMember{ false };
  /// Whether a failure of its gang's run has been counted against the worker.
  bool mIsFailureCounted{ false };
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
  /// How many starts went unanswered.
  std::uint32_t mUnansweredStarts{ 0 };
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
  /// When the worker confirmed a stop; by a report to a poll sent later that does not list the run
  /// as running, the run has ended.
  Time mStopConfirmedAt{ Time::Never() };
  /// The number of the worker's last report by which the run had not ended: it was listed as
  /// running, or its start was sent later.
  std::uint64_t mAliveInReport{ 0 };
  /// The number of the first report that lacked the run although it had begun and may have ended;
  /// zero while there is none. Its end may be among those that the worker has not listed yet.
  std::uint64_t mUnlistedSinceReport{ 0 };
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
