#include "by_queueing/GangRound.h"

#include <algorithm>
#include <cmath>

namespace by {

namespace {

/// Other steps take part of the capacity while the answer is awaited.
constexpr double kContentionFactor = 1.25;
/// Capacity that runs still occupy counts as this part, since other steps wait for it too.
constexpr double kOccupiedWeight = 0.25;
/// The unknown workers cover the tasks with this many standard deviations to spare, about nine
/// times in ten.
constexpr double kMarginDeviations = 1.3;
/// Tickets are renewed once this part of the slots is free.
constexpr double kRenewalShare = 0.7;
/// Maximum number of unknown workers in a round.
constexpr std::size_t kMaxUnknownWorkers = 200;

/// @returns the slots on a worker, with less weight for what is still occupied.
double
WeightedSlots(const AdviceCandidate& aWorker, std::size_t aTasks)
{
  const auto now = static_cast<double>(std::min<std::size_t>(aWorker.mSlots, aTasks));
  const auto soon = static_cast<double>(std::min<std::size_t>(aWorker.mSlotsSoon, aTasks));
  return now + kOccupiedWeight * (soon - now);
}

std::size_t
CountRenewed(std::span<const AdviceCandidate> aAllowed, double aTasks)
{
  double slots = 0;
  for (std::size_t n = 0; n < aAllowed.size(); ++n) {
    slots += aAllowed[n].mSlots > 0 ? aAllowed[n].mSlots : aAllowed[n].mSlotsSoon;
    if (slots >= kContentionFactor * aTasks) {
      return n + 1;
    }
  }
  return aAllowed.size();
}

std::size_t
CountUnknown(std::span<const AdviceCandidate> aUnknown, double aExpected, std::size_t aTasks)
{
  const auto most = std::min(aUnknown.size(), kMaxUnknownWorkers);
  double expected = aExpected;
  double variance = 0;
  for (std::size_t n = 0; n < most; ++n) {
    const auto share = aUnknown[n].mAllowedShare;
    const auto slots = WeightedSlots(aUnknown[n], aTasks);
    expected += share * slots;
    variance += share * (1 - share) * slots * slots;
    if (expected - kMarginDeviations * std::sqrt(variance) >=
        kContentionFactor * static_cast<double>(aTasks)) {
      return n + 1;
    }
  }
  return most;
}

} // namespace

GangRound
PlanGangRound(std::span<const AdviceCandidate> aAllowed,
              std::span<const AdviceCandidate> aUnknown,
              std::size_t aTasks,
              std::size_t aFullQuery)
{
  const auto tasks = static_cast<double>(aTasks);
  double now = 0;
  double soon = 0;
  double weighted = 0;
  for (const auto& worker : aAllowed) {
    now += worker.mSlots;
    soon += worker.mSlotsSoon;
    weighted += WeightedSlots(worker, aTasks);
  }
  if (soon >= tasks && now >= kRenewalShare * tasks) {
    return { .mRenewed = CountRenewed(aAllowed, tasks) };
  }
  if (weighted >= kContentionFactor * tasks) {
    // Enough workers are known; what is missing is capacity.
    return {};
  }
  const auto unknown = CountUnknown(aUnknown, weighted, aTasks);
  for (const auto& worker : aUnknown.first(unknown)) {
    now += worker.mAllowedShare * worker.mSlots;
  }
  if (unknown == 0 || now < tasks) {
    return { .mUnknown = std::min(aUnknown.size(), std::max(unknown, aFullQuery)) };
  }
  // Tickets that expire before the answer are renewed, since the gang could start then.
  return { .mRenewed = CountRenewed(aAllowed, tasks), .mUnknown = unknown };
}

} // namespace by
