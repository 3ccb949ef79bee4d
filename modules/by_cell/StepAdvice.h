#pragma once

#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_set.h"

#include "by_cell/AdviceQuery.h"
#include "by_cell/WorkerTicket.h"
#include "by_core/Time.h"

namespace by {

/// What the advice service has answered on the workers that may run a step, and the open queries.
struct StepAdvice
{
  /// The tickets that permit a run, by worker; ordered, so that equal inputs give equal decisions.
  absl::btree_map<std::string, WorkerTicket> mTickets;
  /// Workers that may not run the step; a denial is final, so that they are not queried again.
  absl::flat_hash_set<std::string> mDeniedWorkers;
  /// The queries that have not been answered; a wide step has several.
  std::vector<AdviceQuery> mOpenQueries;
  /// The earliest time of the next query.
  Time mNextQuery{};
};

} // namespace by
