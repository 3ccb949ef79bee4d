#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "by_cell/PendingCaller.h"
#include "by_cell/PendingEnd.h"
#include "by_cell/RunId.h"
#include "by_core/Time.h"
#include "by_schema/KeyedRecord.h"

namespace by {

/// Records that are appended to the store, with the actions to take once all of them are stored.
struct AppendBatch
{
  std::uint64_t mSequence{ 0 };
  /// The records of the current call.
  std::vector<KeyedRecord> mRecords;
  /// The records of the calls that follow it, in order, where one call can't carry them all. The
  /// actions below follow the last call.
  std::deque<std::vector<KeyedRecord>> mFurtherRecords;
  /// Jobs whose acceptance is recorded in the batch; their submitters are answered once it is
  /// stored.
  std::vector<std::string> mJobs;
  /// Jobs whose outcome is recorded in the batch.
  std::vector<std::string> mOutcomes;
  /// Runs to start once their assignments are stored, each with its worker.
  std::vector<std::pair<std::string, RunId>> mStarts;
  /// Machines whose maintenance may be ordered once the batch is stored, by wave; an empty name
  /// marks the wave as completed.
  std::vector<std::pair<std::uint64_t, std::string>> mMaintenance;
  /// Ends that may be acknowledged to their workers once the batch is stored.
  std::vector<PendingEnd> mEnds;
  /// When the batch was first sent; the time since then decides when callers get an answer without
  /// the store.
  Time mFirstSent{};
  /// When the batch was last sent; an append that succeeds confirms the ownership at this time.
  Time mLastSent{};
  /// Whether a call with the batch has not been answered or timed out yet.
  bool mCallInFlight{ false };
  /// Whether a call went unanswered or an earlier one has succeeded, so that the store may hold
  /// records of the batch.
  bool mUncertain{ false };
  /// Whether the waiting callers have been answered that the outcome is uncertain.
  bool mUncertaintyReported{ false };

  friend bool operator==(const AppendBatch&, const AppendBatch&) = default;
  friend auto operator<=>(const AppendBatch&, const AppendBatch&) = default;
};

} // namespace by
