#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "by_core/Time.h"
#include "by_entryd/detail/EventBatch.h"
#include "by_schema/LogLine.h"

namespace by::detail {

/// What the control thread has handled since it last considered saying that it is behind.
struct DelayReport
{
  /// When it may say so next.
  Time mNextAt{};
  Time mLongestWait{};
  std::uint64_t mHandled{ 0 };
};

/// Notes a batch.
/// @returns a log line once a second at most, if an event waited too long since the last one was
/// considered.
std::optional<LogLine>
ReportDelay(DelayReport& aReport, const std::string& aNode, const EventBatch& aBatch, Time aNow);

} // namespace by::detail
