#include "by_entryd/detail/DelayReport.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace by::detail {

namespace {

constexpr Time kReportInterval = Time::FromMilliseconds(1000);
/// Longer waits are reported.
constexpr Time kReportedWait = Time::FromMilliseconds(100);

} // namespace

std::optional<LogLine>
ReportDelay(DelayReport& aReport, const std::string& aNode, const EventBatch& aBatch, Time aNow)
{
  aReport.mLongestWait = std::max(aReport.mLongestWait, aBatch.mLongestWait);
  aReport.mHandled += aBatch.mEvents.size();
  if (aNow < aReport.mNextAt) {
    return std::nullopt;
  }
  const auto report = aReport;
  aReport = { .mNextAt = aNow + kReportInterval };
  if (report.mLongestWait <= kReportedWait) {
    return std::nullopt;
  }
  return LogLine::Create({ .mEvent = "control.behind",
                           .mSubject = aNode,
                           .mDetail = absl::StrCat("queue_ms=",
                                                   report.mLongestWait.Milliseconds(),
                                                   " queued=",
                                                   aBatch.mLeft,
                                                   " handled=",
                                                   report.mHandled) })
    .value();
}

} // namespace by::detail
