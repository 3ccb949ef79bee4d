#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "by_core/Time.h"
#include "by_schema/PendingRecord.h"
#include "by_schema/RequestClaim.h"

namespace by {

/// The queue of records that this node appends to the log. Only one append is in flight at a time,
/// so that records keep their order even if an append is repeated.
struct LogWriter
{
  /// Number of records created so far; part of each record's id.
  std::uint64_t mCounter{ 0 };
  /// Records waiting to be appended.
  std::deque<PendingRecord> mWaiting;
  /// Records in the append that is in flight.
  std::vector<PendingRecord> mInFlight;
  /// Claims to collect into the next record.
  std::vector<RequestClaim> mClaims;
  /// The earliest time of the next append.
  Time mNextAppend{};
  /// Number of appends that the budget allows now, in thousandths.
  std::int64_t mCredit{ 1000 };
  /// When the credit was last increased.
  Time mCreditAt{};
};

} // namespace by
