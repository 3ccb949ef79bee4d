#include "by_jobs/Chains.h"

#include <algorithm>
#include <cmath>

namespace by {

std::vector<Time>
ChainsFrom(const JobDefinition& aDefinition)
{
  const auto& steps = aDefinition.Steps();
  std::vector<Time> chains(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    chains[i] = chains[i] + steps[i].Estimate();
    for (const auto earlier : steps[i].After()) {
      if (earlier < i) {
        chains[earlier] = std::max(chains[earlier], chains[i]);
      }
    }
  }
  return chains;
}

Time
ObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue)
{
  Time longest;
  for (const auto chain : ChainsFrom(aDefinition)) {
    longest = std::max(longest, chain);
  }
  const auto stretched =
    std::llround(aQueue.SlowdownLimit() * static_cast<double>(longest.Milliseconds()));
  return Time::FromMilliseconds(stretched) + aQueue.Slack();
}

} // namespace by
