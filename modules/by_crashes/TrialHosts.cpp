#include "by_crashes/TrialHosts.h"

#include <algorithm>
#include <utility>

namespace by {

namespace {

/// The part of a pool that may be used for trials.
constexpr std::size_t kTrialDivisor = 2;
/// How long a trial waits for idle workers before it may harm other runs.
constexpr Time kIdleWait = Time::FromMilliseconds(700);
/// Longer than the interval between the polls of a worker with runs.
constexpr Time kRecentAnswer = Time::FromMilliseconds(500);

} // namespace

std::size_t
TrialLimit(std::size_t aWorkers)
{
  return std::max<std::size_t>(1, aWorkers / kTrialDivisor);
}

bool
IsAnswerRecent(Time aAnsweredAt, Time aStartedAt)
{
  return aAnsweredAt > Time() && aStartedAt <= aAnsweredAt + kRecentAnswer;
}

std::vector<std::size_t>
ChooseTrialHosts(std::span<const TrialHost> aHosts, std::size_t aTasks, Time aWaited)
{
  std::vector<std::size_t> hosts;
  for (std::size_t i = 0; i < aHosts.size(); ++i) {
    const bool isIdle = aHosts[i].mRuns == 0;
    if (aHosts[i].mSlots > 0 && !aHosts[i].mHasProbation && (isIdle || aWaited >= kIdleWait)) {
      hosts.push_back(i);
    }
  }
  // A trial on few workers costs few of them.
  std::stable_sort(hosts.begin(), hosts.end(), [&](std::size_t aLeft, std::size_t aRight) {
    const auto keyOf = [&](std::size_t aHost) {
      const auto& host = aHosts[aHost];
      return std::pair(host.mRuns, aTasks - std::min(aTasks, host.mSlots));
    };
    return keyOf(aLeft) < keyOf(aRight);
  });
  std::size_t slots = 0;
  std::size_t n = 0;
  while (n < hosts.size() && slots < aTasks) {
    slots += aHosts[hosts[n++]].mSlots;
  }
  hosts.resize(slots < aTasks ? 0 : n);
  return hosts;
}

} // namespace by
