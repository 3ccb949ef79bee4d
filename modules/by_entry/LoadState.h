#pragma once

#include <cstdint>
#include <vector>

#include "by_cell/LogLimit.h"
#include "by_core/Time.h"
#include "by_schema/TeamLoad.h"

namespace by {

/// What a node knows of how far it is behind.
struct LoadState
{
  /// The longest time that an event has waited for the control thread before the last tick; at the
  /// owner without the time before it served requests.
  Time mQueueDelay{};
  /// When this owner's first tick after it loaded the cell was; Never() at other nodes.
  Time mServingSince{ Time::Never() };
  /// Since when events wait too long; Never() while they do not.
  Time mOverloadedAt{ Time::Never() };
  /// Since when events have waited only shortly; Never() while they do not.
  Time mCalmSince{ Time::Never() };
  /// Whether this node, if it is the owner, takes no new jobs. While some teams exceed their rate,
  /// an overloaded owner first refuses what exceeds it.
  bool mRefusesNewJobs{ false };
  /// Whether members were told that this node takes no new jobs, and of which teams they should
  /// forward only a share.
  bool mOverloadPublished{ false };
  std::vector<TeamLoad> mTeamLoadsPublished;
  /// Requests of members that were dropped since the last report, because their callers no longer
  /// waited, and when the next report is due.
  std::uint64_t mDroppedRequests{ 0 };
  Time mNextDropReport{};
  /// Bounds the log lines about answers that took long.
  LogLimit mSlowAnswers;
};

} // namespace by
