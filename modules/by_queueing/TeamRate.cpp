#include "by_queueing/TeamRate.h"

#include <algorithm>

namespace by {

namespace {

/// Keeps the arithmetic of buckets far from its limits, whatever weight is configured.
constexpr std::int64_t kMaxJobsPerSecond = 1000000;
constexpr std::int64_t kMilli = 1000;
/// A bucket holds the tokens of a second, and at least so many, so that a team of weight 1 can
/// submit two jobs at the same time.
constexpr std::int64_t kMinDepth = 2;
/// After this time any bucket is full.
constexpr Time kMaxRefillTime = Time::FromSeconds(kMinDepth);
/// Nodes forward so many hundredths of the rate.
constexpr std::int64_t kForwardedPercent = 150;
constexpr std::int64_t kPercent = 100;
/// A lower share would take too long to double back after the flood.
constexpr std::int64_t kMinPermille = 10;
/// Shares that differ by less than a tenth are not worth a change.
constexpr std::int64_t kShareTolerance = 10;
/// The wait of a refused caller. [s]
constexpr std::int64_t kMinReturnSeconds = 1;
constexpr std::int64_t kMaxReturnSeconds = 4;

std::int64_t
CeilSeconds(Time aTime)
{
  return (aTime.Milliseconds() + kMilli - 1) / kMilli;
}

Time
TimeSince(Time aEarlier, Time aNow)
{
  return std::max(Time(), aNow - aEarlier);
}

} // namespace

std::int64_t
JobsPerSecond(std::int64_t aWeight)
{
  return std::clamp(aWeight, std::int64_t{ 1 }, kMaxJobsPerSecond);
}

TokenBucket
FullBucket(std::int64_t aRate, Time aNow)
{
  return { .mMilliTokens = std::max(aRate, kMinDepth) * kMilli, .mFilledAt = aNow };
}

bool
TakeToken(TokenBucket& aBucket, std::int64_t aRate, Time aNow)
{
  const auto elapsed = std::min(kMaxRefillTime, TimeSince(aBucket.mFilledAt, aNow));
  const auto depth = FullBucket(aRate, aNow).mMilliTokens;
  // A rate of one job a second is one thousandth of a token in a millisecond.
  aBucket.mMilliTokens = std::min(depth, aBucket.mMilliTokens + elapsed.Milliseconds() * aRate);
  aBucket.mFilledAt = std::max(aBucket.mFilledAt, aNow);
  if (aBucket.mMilliTokens < kMilli) {
    return false;
  }
  aBucket.mMilliTokens -= kMilli;
  return true;
}

void
CountArrival(TeamDemand& aDemand)
{
  aDemand.mArrivedMilli += kMilli * kAllPermille / aDemand.mAdmittedPermille;
}

void
UpdateAdmittedShare(TeamDemand& aDemand, std::int64_t aRate, Time aInterval, bool aIsRefused)
{
  const auto arrived = aDemand.mArrivedMilli * kMilli / aInterval.Milliseconds();
  aDemand.mArrivedMilli = 0;
  aDemand.mOfferedMilli = (aDemand.mOfferedMilli + arrived) / 2;
  const auto target = aRate * kMilli * kForwardedPercent / kPercent;
  const auto wanted = aIsRefused && aDemand.mOfferedMilli > target
                        ? std::max(kMinPermille, target * kAllPermille / aDemand.mOfferedMilli)
                        : kAllPermille;
  const auto share = std::min(wanted, aDemand.mAdmittedPermille * 2);
  const auto change = share - aDemand.mAdmittedPermille;
  if (share == kAllPermille || std::max(change, -change) * kShareTolerance >= share) {
    aDemand.mAdmittedPermille = share;
  }
}

bool
ForwardsNext(std::int64_t& aCredit, std::int64_t aAdmittedPermille)
{
  aCredit += aAdmittedPermille;
  if (aCredit < kAllPermille) {
    return false;
  }
  aCredit -= kAllPermille;
  return true;
}

Time
AddRefused(RefusedBacklog& aBacklog, std::int64_t aRate, Time aNow)
{
  const auto longest = Time::FromSeconds(kMaxReturnSeconds);
  const auto elapsed = std::min(longest, TimeSince(aBacklog.mUpdatedAt, aNow));
  const auto served = elapsed.Milliseconds() * aRate;
  aBacklog.mMilliJobs = std::max(std::int64_t{ 0 }, aBacklog.mMilliJobs - served) + kMilli;
  // Nobody waits for longer, so that earlier refusals no longer matter.
  aBacklog.mMilliJobs = std::min(aBacklog.mMilliJobs, longest.Milliseconds() * aRate);
  aBacklog.mUpdatedAt = std::max(aBacklog.mUpdatedAt, aNow);
  return Time::FromMilliseconds(aBacklog.mMilliJobs / aRate);
}

Time
RefillTimeOfRefused(std::int64_t aAdmittedPermille)
{
  const auto admitted = std::clamp(aAdmittedPermille, std::int64_t{ 1 }, kAllPermille);
  // Nodes forward more than the rate, which is what the bucket refills by.
  return Time::FromMilliseconds((kAllPermille - admitted) * kMilli * kForwardedPercent /
                                (admitted * kPercent));
}

Time
ReturnDelay(Time aRefillTime, std::uint64_t aIndex)
{
  const auto latest =
    std::clamp(kMinReturnSeconds + CeilSeconds(aRefillTime), kMinReturnSeconds, kMaxReturnSeconds);
  const auto choices = static_cast<std::uint64_t>(latest - kMinReturnSeconds + 1);
  return Time::FromSeconds(kMinReturnSeconds + static_cast<std::int64_t>(aIndex % choices));
}

} // namespace by
