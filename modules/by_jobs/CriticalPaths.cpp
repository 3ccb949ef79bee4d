#include "by_jobs/CriticalPaths.h"

#include <algorithm>
#include <cmath>

namespace by {

std::vector<Time>
CriticalPathsFrom(const JobDefinition& aDefinition)
{
  const auto& steps = aDefinition.Steps();
  std::vector<Time> paths(steps.size());
  for (std::size_t i = steps.size(); i-- > 0;) {
    paths[i] = paths[i] + steps[i].Estimate();
    for (const auto earlier : steps[i].After()) {
      if (earlier < i) {
        paths[earlier] = std::max(paths[earlier], paths[i]);
      }
    }
  }
  return paths;
}

namespace {

Time
LongestPath(const JobDefinition& aDefinition)
{
  Time longest;
  for (const auto path : CriticalPathsFrom(aDefinition)) {
    longest = std::max(longest, path);
  }
  return longest;
}

} // namespace

Time
SlackTime(const JobDefinition& aDefinition, const QueuePolicy& aQueue)
{
  return ObjectiveTime(aDefinition, aQueue) - LongestPath(aDefinition);
}

Time
ObjectiveTime(const JobDefinition& aDefinition, const QueuePolicy& aQueue)
{
  const auto allowed = std::llround(aQueue.SlowdownLimit() *
                                    static_cast<double>(LongestPath(aDefinition).Milliseconds()));
  return Time::FromMilliseconds(allowed) + aQueue.Slack();
}

} // namespace by
