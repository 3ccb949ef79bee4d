#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "by_cell/PendingCaller.h"
#include "by_cell/PendingEnd.h"
#include "by_cell/RunId.h"
#include "by_core/Time.h"
#include "by_schema/KeyedRecord.h"

namespace by {

/// Records that are appended in one call, and what waits for it.
struct AppendBatch
{
  std::uint64_t mSequence{ 0 };
  std::vector<KeyedRecord> mRecords;
  /// Jobs whose record is in the batch.
  std::vector<std::string> mJobs;
  /// Jobs whose outcome is in the batch.
  std::vector<std::string> mOutcomes;
  /// Runs to order, by worker.
  std::vector<std::pair<std::string, RunId>> mStarts;
  /// Machines whose upkeep may be ordered, by wave; an empty name is a wave that is completed.
  std::vector<std::pair<std::uint64_t, std::string>> mMaintenance;
  /// Ends that may be acknowledged.
  std::vector<PendingEnd> mEnds;
  /// When it was first sent.
  Time mFirstSent{};
  /// When it was last sent.
  Time mLastSent{};
  /// Whether a call with it is on its way.
  bool mCallInFlight{ false };
  /// Whether a call with it went without an answer.
  bool mUncertain{ false };
  /// Whether the callers that wait for it were told so.
  bool mUncertaintyReported{ false };

  friend bool operator==(const AppendBatch&, const AppendBatch&) = default;
  friend auto operator<=>(const AppendBatch&, const AppendBatch&) = default;
};

} // namespace by
