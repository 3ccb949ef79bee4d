#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "by_core/Time.h"

namespace by {

/// What is known of the workers that may run a step.
struct StepAdvice
{
  /// Tickets by worker.
  absl::flat_hash_map<std::string, std::string> mTickets;
  /// When the tickets run out, by worker.
  absl::flat_hash_map<std::string, Time> mValidUntil;
  /// Workers that may not run it; this does not change.
  absl::flat_hash_set<std::string> mDeniedWorkers;
  /// Whether a question is open, and when it is given up.
  bool mOpenQueries{ false };
  /// The node that it was asked through.
  std::string mQueryNode;
  Time mQueryDeadline{};
  /// Not before this time is the next question asked.
  Time mNextQuery{};
};

} // namespace by
