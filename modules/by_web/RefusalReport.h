#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "by_core/Time.h"
#include "by_schema/LogLine.h"
#include "by_web/Refusal.h"

namespace by {

/// What callers were refused since the last log line about it.
struct RefusalReport
{
  /// When the next line may be written.
  Time mNextAt{};
  std::map<Refusal, std::uint64_t> mCounts;
};

/// Notes that a call was not read, or that a limit closed a connection.
/// @returns a log line once a second at most, with the counts since the previous one. Connections
/// that ended since they were idle are counted and cause no line.
std::optional<LogLine>
ReportRefusal(RefusalReport& aReport, Refusal aReason, Time aNow);

} // namespace by
