#include "by_web/RefusalReport.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace by {

namespace {

constexpr Time kReportInterval = Time::FromMilliseconds(1000);

} // namespace

std::optional<LogLine>
ReportRefusal(RefusalReport& aReport, Refusal aReason, Time aNow)
{
  ++aReport.mCounts[aReason];
  if (aReason == Refusal::IdleTimeout || aNow < aReport.mNextAt) {
    return std::nullopt;
  }
  aReport.mNextAt = aNow + kReportInterval;
  std::string detail;
  for (const auto& [reason, count] : std::exchange(aReport.mCounts, {})) {
    absl::StrAppend(&detail, detail.empty() ? "" : " ", ToString(reason), "=", count);
  }
  return LogLine::Create(
           { .mEvent = "connection.refused", .mSubject = "callers", .mDetail = std::move(detail) })
    .value();
}

} // namespace by
