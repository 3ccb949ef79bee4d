#pragma once

#include <cstddef>
#include <cstdint>

#include "by_core/Time.h"
#include "by_schema/ClusterSettings.h"

namespace by::detail {

/// Maximum number of racks that a node releases at the same time for rebalancing.
constexpr std::size_t kMaxConcurrentReleases = 2;
/// Number of suspicion timeouts for which a node must have been steady before racks move to it for
/// rebalancing.
constexpr std::int64_t kSteadyTimeouts = 5;
/// Number of suspicion timeouts for which a rack stays with its owner before it may move for
/// rebalancing.
constexpr std::int64_t kMinTenureTimeouts = 5;
/// Number of suspicion timeouts for which an owner that claims racks without being heard from
/// counts as alive.
constexpr std::int64_t kUnheardOwnerTimeouts = 15;
/// Maximum number of log entries by which a member may lag and still be a candidate for racks.
constexpr std::uint64_t kMaxCandidateLag = 1000;

/// @returns the time after which a record is appended again if a log that is being read does not
///          show it.
inline Time
RecordRetryDelay(const ClusterSettings& aSettings)
{
  return aSettings.SuspectAfter() * 2;
}

/// @returns the time after sending during which a backend server accepts a lease request or a
///          start.
inline Time
RequestValidity(const ClusterSettings& aSettings)
{
  return aSettings.LeaseRenewal();
}

/// @returns the longest time after the last request for which a backend server can still hold the
///          lease.
inline Time
MaxLeaseHoldTime(const ClusterSettings& aSettings)
{
  return RequestValidity(aSettings) + aSettings.LeaseTtl() + aSettings.ClockDrift() * 2;
}

} // namespace by::detail
