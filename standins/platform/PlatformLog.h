#pragma once

#include <cstdint>
#include <deque>

#include "by_core/Time.h"
#include "by_schema/RawRecord.h"

namespace by::standins {

/// The records of the platform's log with its limits.
struct PlatformLog
{
  /// The records that are kept, by rising offset without gaps.
  std::deque<RawRecord> mRecords;
  /// The offset of the next record.
  std::uint64_t mNextOffset{ 0 };
  /// Records that may be appended now, in thousandths.
  std::int64_t mTokens{ 0 };
  /// When the tokens were last counted.
  Time mTokensAt;
};

} // namespace by::standins
