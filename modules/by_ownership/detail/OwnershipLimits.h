#pragma once

#include <cstddef>
#include <cstdint>

#include "by_core/Time.h"
#include "by_schema/ClusterSettings.h"

namespace by::detail {

/// Racks that a node hands over at once for balance.
constexpr std::size_t kMaxConcurrentReleases = 2;
/// A node must have been steady for this many suspicion bounds before racks move to it for balance.
constexpr std::int64_t kSteadyTimeouts = 5;
/// A rack is kept for this many suspicion bounds before it moves for balance.
constexpr std::int64_t kMinTenureTimeouts = 5;
/// An owner that claims racks while it can't be heard counts as alive for this many bounds.
constexpr std::int64_t kUnheardOwnerTimeouts = 15;
/// A member may lag by this many entries and still be a candidate for racks.
constexpr std::uint64_t kMaxCandidateLag = 1000;

/// After this long without its outcome in a log that is read, a record is appended again.
inline Time
RecordRetryDelay(const ClusterSettings& aSettings)
{
  return aSettings.SuspectAfter() * 2;
}

/// A backend server takes a lease request or a start for this long after it was sent.
inline Time
RequestValidity(const ClusterSettings& aSettings)
{
  return aSettings.LeaseRenewal();
}

/// How long after the last request a backend server can still hold the lease, at most.
inline Time
MaxLeaseHoldTime(const ClusterSettings& aSettings)
{
  return RequestValidity(aSettings) + aSettings.LeaseTtl() + aSettings.ClockDrift() * 2;
}

} // namespace by::detail
