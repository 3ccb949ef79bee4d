#pragma once

#include <cstddef>
#include <span>

#include "by_queueing/AdviceCandidate.h"

namespace by {

/// Which workers a round of advice queries lists for a gang.
struct GangRound
{
  /// The number of workers that were allowed before, whose tickets are renewed.
  std::size_t mRenewed{ 0 };
  /// The number of workers that are not known yet.
  std::size_t mUnknown{ 0 };

  friend bool operator==(const GangRound&, const GangRound&) = default;
  friend auto operator<=>(const GangRound&, const GangRound&) = default;
};

/// Plans the next round for a gang.
///
/// Load pattern: in a full pool a gang waits for seconds while tickets expire. Which workers are
/// allowed does not change, so that queries are worth their time for two purposes only: to learn of
/// enough workers to reserve capacity on, and to renew tickets once capacity is free.
/// @param aAllowed the workers that were allowed before, without those whose tickets stay valid;
///   those with the most capacity first.
/// @param aUnknown the workers that are not known yet, the best first.
/// @param aTasks the tasks that the workers with valid tickets have no capacity for.
/// @param aFullQuery the number of workers that doubles the time of a query. A round that only
///   learns lists at least as many, since its fixed time is paid anyway.
GangRound
PlanGangRound(std::span<const AdviceCandidate> aAllowed,
              std::span<const AdviceCandidate> aUnknown,
              std::size_t aTasks,
              std::size_t aFullQuery);

} // namespace by
