#pragma once

#include <cstddef>
#include <vector>

#include "by_core/Time.h"
#include "by_queueing/AdviceCost.h"

namespace by {

/// Maximum number of workers that the service accepts in one query.
inline constexpr std::size_t kMaxQueriedWorkers = 100;

/// @returns how long the service takes to answer a query that lists a number of workers.
Time
AnswerTime(const AdviceCost& aCost, std::size_t aWorkers);

/// @returns the number of workers that doubles the time of a query, within the limits of a query.
std::size_t
FullQuerySize(const AdviceCost& aCost);

/// @returns how many workers to list for independent tasks.
std::size_t
CountWorkersForTasks(std::size_t aCandidates, std::size_t aTasks);

/// Splits workers between queries that are sent at the same time through different nodes.
///
/// Load pattern: a wide step needs tickets of many workers at the same time, each valid for a short
/// time. One long query answers late; many short ones pay the fixed time of each and occupy the
/// nodes that other steps need. A query lists at most as many workers as double its fixed time, or
/// half as many while most nodes are idle.
/// @param aWorkers the number of workers to list.
/// @param aIdleNodes the nodes without an open query, at least one.
/// @returns the number of workers in each query.
std::vector<std::size_t>
SplitQueries(const AdviceCost& aCost,
             std::size_t aWorkers,
             std::size_t aIdleNodes,
             std::size_t aNodes);

} // namespace by
