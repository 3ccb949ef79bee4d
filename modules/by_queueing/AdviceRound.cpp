#include "by_queueing/AdviceRound.h"

#include <algorithm>

namespace by {

namespace {

constexpr std::int64_t kMicrosInMilli = 1000;
/// Maximum number of queries in a round.
constexpr std::size_t kMaxQueriesPerRound = 3;
/// A query lists at least this many workers, whatever its cost.
constexpr std::size_t kMinWorkersPerQuery = 6;

} // namespace

Time
AnswerTime(const AdviceCost& aCost, std::size_t aWorkers)
{
  const auto us = aCost.mQueryUs + aCost.mWorkerUs * static_cast<std::int64_t>(aWorkers);
  return Time::FromMilliseconds(us / kMicrosInMilli + 1);
}

std::size_t
FullQuerySize(const AdviceCost& aCost)
{
  if (aCost.mWorkerUs <= 0) {
    return kMaxQueriedWorkers;
  }
  const auto workers =
    static_cast<std::size_t>(std::max<std::int64_t>(0, aCost.mQueryUs) / aCost.mWorkerUs);
  return std::clamp(workers, kMinWorkersPerQuery, kMaxQueriedWorkers);
}

std::size_t
CountWorkersForTasks(std::size_t aCandidates, std::size_t aTasks)
{
  constexpr std::size_t kWorkersPerTask = 2;
  constexpr std::size_t kSpareWorkers = 4;
  return std::min(aCandidates, kWorkersPerTask * aTasks + kSpareWorkers);
}

std::vector<std::size_t>
SplitQueries(const AdviceCost& aCost,
             std::size_t aWorkers,
             std::size_t aIdleNodes,
             std::size_t aNodes)
{
  if (aWorkers == 0) {
    return {};
  }
  const auto full = FullQuerySize(aCost);
  const auto most = 2 * aIdleNodes > aNodes ? std::max(full / 2, kMinWorkersPerQuery) : full;
  const auto limit = std::clamp<std::size_t>(aIdleNodes, 1, kMaxQueriesPerRound);
  const auto queries = std::clamp<std::size_t>((aWorkers + most - 1) / most, 1, limit);
  const auto listed = std::min(aWorkers, queries * kMaxQueriedWorkers);
  std::vector<std::size_t> sizes;
  for (std::size_t i = 0; i < queries; ++i) {
    sizes.push_back(listed / queries + (i < listed % queries ? 1 : 0));
  }
  return sizes;
}

} // namespace by
